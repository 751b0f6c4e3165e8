package limit

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// decreaseFactor multiplies the limit when a backend server sheds a call.
	decreaseFactor = 0.7
	// decreaseInterval is the shortest time between two decreases. Calls that were already in flight at a decrease may
	// be shed too; they belong to the same overload and must not lower the limit again.
	decreaseInterval = 20 * time.Millisecond
	// minLimit is the lower bound of the limit.
	minLimit = 1
)

// Adaptive is a limit on the calls in flight at a backend server. It decreases when the backend server sheds calls and
// increases while it serves them (additive increase, multiplicative decrease: Chiu and Jain, 1989). It is safe for
// concurrent use.
type Adaptive struct {
	max float64
	// limit holds the bits of a float64.
	limit atomic.Uint64
	// decreasedAt is the time of the last decrease in Unix nanoseconds.
	decreasedAt atomic.Int64
}

// NewAdaptive returns a limit that starts at its upper bound.
func NewAdaptive(upperBound int) *Adaptive {
	a := &Adaptive{max: math.Max(float64(upperBound), minLimit)}
	a.limit.Store(math.Float64bits(a.max))
	return a
}

// Limit returns the number of calls that may be in flight.
func (a *Adaptive) Limit() int {
	return int(math.Float64frombits(a.limit.Load()))
}

// Served records a served call. About as many served calls as the limit allows in flight raise it by one. The limit is
// not raised while less than half of it is in use, because then the calls do not show that it is too low.
func (a *Adaptive) Served(inFlight int) {
	for {
		old := a.limit.Load()
		limit := math.Float64frombits(old)
		if limit >= a.max || float64(inFlight) < limit/2 {
			return
		}
		raised := math.Min(a.max, limit+1/limit)
		if a.limit.CompareAndSwap(old, math.Float64bits(raised)) {
			return
		}
	}
}

// Shed records a shed call and lowers the limit, at most once in decreaseInterval.
func (a *Adaptive) Shed(now time.Time) {
	last := a.decreasedAt.Load()
	if now.UnixNano()-last < int64(decreaseInterval) || !a.decreasedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	for {
		old := a.limit.Load()
		lowered := math.Max(minLimit, math.Float64frombits(old)*decreaseFactor)
		if a.limit.CompareAndSwap(old, math.Float64bits(lowered)) {
			return
		}
	}
}
