package gate

import (
	"math"
	"time"
)

const (
	// arrivalDelay is the time by which calls may reach the backend server later than they were counted, as when the node does not
	// get a processor for a moment. A burst that is late must not meet the next one in the same second.
	arrivalDelay = 200 * time.Millisecond
	// paceWindow is the time over which the calls to a cold backend server are counted, so that no second of their arrivals
	// holds more than the limit.
	paceWindow = time.Second + arrivalDelay
	// coldSlackShare is the share of the slack that the gate uses. The rest is for calls that are later than arrivalDelay.
	coldSlackShare = 0.75
)

// Pace decides whether a cold backend server may get another call. It reads no clock, as the time is passed in, and it is not
// safe for concurrent use.
//
// Load pattern: the backend servers of a failure domain come back together and cold, while the callers press as before. A cold
// backend server that gets its usual rate breaks down. All calls to it pass its gate, so the window of the gate is the
// window over all nodes.
//
// Invariant: while the backend server is cold, no span of paceWindow holds more calls than the limit, those from before it became
// cold included as long as they were fewer.
type Pace struct {
	// taken holds the times of the latest calls, oldest first, at most as many as the last limit.
	taken []time.Time
	// notBefore is the time before which calls of an earlier process may count too.
	notBefore time.Time
}

// NewPace returns a pace for a gate that starts at the given time. An earlier process may have sent calls until then.
func NewPace(started time.Time) *Pace {
	return &Pace{notBefore: started.Add(paceWindow)}
}

// Wait returns the time until the backend server may get another call while it is cold, 0 if it may now.
func (p *Pace) Wait(limit int, now time.Time) time.Duration {
	wait := p.notBefore.Sub(now)
	if len(p.taken) >= limit {
		wait = max(wait, p.taken[len(p.taken)-limit].Add(paceWindow).Sub(now))
	}
	return max(wait, 0)
}

// Take counts a call that is sent now, whether or not the backend server is cold.
func (p *Pace) Take(limit int, now time.Time) {
	if excess := len(p.taken) + 1 - limit; excess > 0 {
		p.taken = append(p.taken[:0], p.taken[min(excess, len(p.taken)):]...)
	}
	p.taken = append(p.taken, now)
}

// coldLimit returns the number of calls that a cold backend server may get in a paceWindow, at least one.
func coldLimit(rate, overrun, slack float64) int {
	return max(int(math.Floor(rate*max(overrun, 1)+coldSlackShare*slack)), 1)
}
