package limit

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// adaptiveBackoff is the factor on the limit when a backend server sheds.
	adaptiveBackoff = 0.7
	// adaptivePause is the time between two decreases: the calls that were on the way count as one signal.
	adaptivePause = 20 * time.Millisecond
	// adaptiveMin is the least number of calls that may be in flight.
	adaptiveMin = 1
)

// Adaptive is a limit of calls in flight that falls when a backend server sheds and rises while it serves
// (additive increase, multiplicative decrease: Chiu and Jain, 1989). It is safe for use by many goroutines.
type Adaptive struct {
	max       float64
	limit     atomic.Uint64
	decreased atomic.Int64
}

// NewAdaptive returns a limit that starts at its largest value.
func NewAdaptive(largest int) *Adaptive {
	a := &Adaptive{max: math.Max(float64(largest), adaptiveMin)}
	a.limit.Store(math.Float64bits(a.max))
	return a
}

// Limit returns the calls that may be in flight.
func (a *Adaptive) Limit() int {
	return int(math.Float64frombits(a.limit.Load()))
}

// Served raises the limit by one for each round of calls that was served at the limit.
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

// Shed lowers the limit.
func (a *Adaptive) Shed(now time.Time) {
	last := a.decreased.Load()
	if now.UnixNano()-last < int64(adaptivePause) || !a.decreased.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	for {
		old := a.limit.Load()
		lowered := math.Max(adaptiveMin, math.Float64frombits(old)*adaptiveBackoff)
		if a.limit.CompareAndSwap(old, math.Float64bits(lowered)) {
			return
		}
	}
}
