package calls

import (
	"sync/atomic"
	"time"
)

// StopAdmission decides which calls a node still takes once it stops. It is safe for concurrent use; nil and its
// zero value are those of a node that does not stop.
//
// Load pattern: callers and other nodes go on sending for some seconds after a planned stop has begun, each with the time limit
// of its own call. A call that is taken late and ends after the process does gets no answer, although it may have run.
type StopAdmission struct {
	plan atomic.Pointer[stopPlan]
}

// stopPlan is the course of a stop.
type stopPlan struct {
	// anyUntil is the time until which all calls are taken, so that callers can go elsewhere first. Most calls end long before
	// their time limit.
	anyUntil time.Time
	// completeBy is the time by which all calls must have ended.
	completeBy time.Time
}

// Begin begins the stop.
func (a *StopAdmission) Begin(anyUntil, completeBy time.Time) {
	a.plan.Store(&stopPlan{anyUntil, completeBy})
}

// Admits reports whether a call with the given deadline is taken now.
func (a *StopAdmission) Admits(now, deadline time.Time) bool {
	if a == nil {
		return true
	}
	plan := a.plan.Load()
	return plan == nil || now.Before(plan.anyUntil) || !deadline.After(plan.completeBy)
}
