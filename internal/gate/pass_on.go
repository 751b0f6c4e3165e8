package gate

import (
	"time"

	"samphireflow/internal/calls"
)

// observeLoad takes in what the backend server reports of its machine.
func (q *Queue) observeLoad(load calls.Load, now time.Time) {
	q.latencies.machine.Observe(load.Slowdown, now)
}

// slowdown returns the slowdown of the machine, 0 if the backend server does not tell it.
func (q *Queue) slowdown(now time.Time) float64 {
	if !q.latencies.machine.Known() {
		return 0
	}
	return q.latencies.machine.At(now)
}

// passesOn reports whether a call is refused although a slot is free: it would finish in time at the usual speed of this
// backend server, but not at that of this moment.
//
// Load pattern: a machine turns slow several times a minute for less time than a report of it takes to reach all nodes. Only
// its gate knows without delay, and asking another gate costs a round trip, a thousandth of the time that the call would
// lose. Calls that gave up their objective stay: they are not passed on from gate to gate.
func (q *Queue) passesOn(e *Entry, now time.Time) bool {
	return e.FinishBy.Before(e.Objective) && q.latencies.SlowedPast(e.Route, e.FinishBy, now)
}
