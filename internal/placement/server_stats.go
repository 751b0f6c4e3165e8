package placement

import (
	"math"
	"sync"
	"time"

	"samphireflow/internal/calls"
)

const (
	// reportHalfLife is the time after which what a gate said about the calls of other nodes counts half.
	reportHalfLife = 400 * time.Millisecond
	// timeWeight is the weight of the newest call in the running mean of a backend server's time.
	timeWeight = 0.1
	// timeMemory is the time after which a running mean that no call renews counts half against that of the others, so
	// that a backend server that was slow is tried again.
	timeMemory = 4 * time.Second
	// errorWeight is the weight of the newest call in the running rate of failures.
	errorWeight = 0.08
	// unreachableTime is the time for which a backend server is passed over after its node could not be reached; it
	// doubles with each further failure up to maxUnreachable. Then one call tries it, and the others pass it over for
	// trialTime.
	unreachableTime = 400 * time.Millisecond
	maxUnreachable  = 2 * time.Second
	trialTime       = 200 * time.Millisecond
	// leavingTime is the time for which a backend server that said it leaves is passed over; by then membership tells.
	leavingTime = 3 * time.Second
)

// ServerStats is what a node knows of one start of a backend server. It is safe for use by many goroutines.
type ServerStats struct {
	mu    sync.Mutex
	slots int
	// warmAt is the end of the time in which the backend server is slow after its start.
	warmAt time.Time
	// own is the number of this node's calls there.
	own int
	// others is the number of the other nodes' calls, running and waiting, as the gate said at othersAt.
	others   int
	othersAt time.Time
	// mean is the running mean of the time of a call, 0 before the first; meanAt is the time of the last call in it.
	mean   time.Duration
	meanAt time.Time
	errors float64
	errAt  time.Time

	avoidUntil time.Time
	failures   int
}

// NewServerStats returns the view of a backend server of which nothing was heard but its announcement.
func NewServerStats(slots int, warmAt time.Time) *ServerStats {
	return &ServerStats{slots: max(slots, 1), warmAt: warmAt}
}

// Begin counts a call that is sent there; End must follow.
func (v *ServerStats) Begin(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.own++
	if v.failures > 0 && !now.Before(v.avoidUntil) {
		v.avoidUntil = now.Add(trialTime)
	}
}

// End takes in what came of a call.
func (v *ServerStats) End(result *calls.Result, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.own--
	if result.Load != nil {
		v.others = max(result.Load.Running+result.Load.Waiting-v.own, 0)
		v.othersAt = now
		if v.failures > 0 {
			v.failures = 0
			v.avoidUntil = now
		}
	}
	switch result.Fate {
	case calls.Answered:
		v.answered(result, now)
	case calls.NotRun:
		v.refused(result, now)
	case calls.Unknown:
		v.errors += errorWeight * (1 - v.errors)
		v.errAt = now
	}
}

func (v *ServerStats) answered(result *calls.Result, now time.Time) {
	if result.Response.Status >= 500 {
		v.errors += errorWeight * (1 - v.errors)
		v.errAt = now
		return
	}
	v.errors -= errorWeight * v.errors
	v.errAt = now
	if v.mean == 0 {
		v.mean = result.Took
	} else {
		v.mean += time.Duration(timeWeight * float64(result.Took-v.mean))
	}
	v.meanAt = now
}

func (v *ServerStats) refused(result *calls.Result, now time.Time) {
	switch result.Reason {
	case calls.ReasonDraining, calls.ReasonMisdirected:
		v.avoidUntil = now.Add(leavingTime)
	case calls.ReasonUnreachable:
		v.avoidUntil = now.Add(min(unreachableTime<<min(v.failures, 8), maxUnreachable))
		v.failures++
	case calls.ReasonShed:
		v.errors += errorWeight * (1 - v.errors)
		v.errAt = now
	}
}

// sight is a View at one time.
type sight struct {
	slots    float64
	occupied float64
	mean     time.Duration
	meanAge  time.Duration
	errors   float64
	avoid    bool
}

func (v *ServerStats) at(now time.Time) sight {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := sight{slots: float64(v.slots), occupied: float64(v.own), mean: v.mean, avoid: now.Before(v.avoidUntil)}
	if now.Before(v.warmAt) {
		s.slots /= coldFactor
	}
	s.occupied += float64(v.others) * decay(now.Sub(v.othersAt), reportHalfLife)
	s.meanAge = now.Sub(v.meanAt)
	s.errors = v.errors * decay(now.Sub(v.errAt), timeMemory)
	return s
}

// decay is the weight of what was heard some time ago.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
