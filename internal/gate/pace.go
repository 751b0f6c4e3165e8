package gate

import (
	"math"
	"time"
)

const (
	// paceWindow is the time over which the calls to a cold backend server are counted.
	paceWindow = time.Second
	// coldSlackShare is the share of the slack that the gate uses. The rest is for calls that reach the backend server closer
	// together than the gate has sent them.
	coldSlackShare = 0.25
)

// Pace decides whether a cold backend server may get another call. It reads no clock, as the time is passed in, and it is not
// safe for concurrent use.
//
// Load pattern: the backend servers of a failure domain come back together and cold, while the callers press as before. A cold
// backend server that gets its usual rate breaks down. All calls to it pass its gate, so the window of the gate is the
// window over all nodes.
//
// Invariant: no span of paceWindow holds more than the limit of calls while the backend server is cold, including the calls
// from before it became cold as far as those were fewer than the limit.
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
