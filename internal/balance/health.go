package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// healthWindow is the length of the window in which calls and errors are counted.
	healthWindow = 5 * time.Second
	// minOutcomes is the number of outcomes below which the error rate is not judged.
	minOutcomes = 8
	// maxBrokenInRow is the number of consecutive broken calls at which a backend server is an outlier whatever its error
	// rate.
	maxBrokenInRow = 3
	// maxEjectFactor bounds the time of repeated ejections, as a multiple of the time of the first.
	maxEjectFactor = 8
)

// health counts the outcomes of calls to a backend server and holds the end of its ejection.
type health struct {
	// ejectedUntil is the end of the ejection in Unix nanoseconds, 0 for none.
	ejectedUntil atomic.Int64

	mu          sync.Mutex
	windowStart time.Time
	// calls and errors are counted since windowStart. Broken calls count as errors.
	calls  int
	errors int
	// brokenInRow is the number of consecutive broken calls.
	brokenInRow int
	// ejectFactor is the factor of the last ejection. It is 0 before the first, and again once a window holds more than
	// minOutcomes calls and no errors.
	ejectFactor int
}

// Outcome is the result of one call, by which the health of a backend server is judged.
type Outcome int

// The outcomes of calls.
const (
	// OutcomeOK is a complete answer without a server error.
	OutcomeOK Outcome = iota
	// OutcomeError is a complete answer with a server error.
	OutcomeError
	// OutcomeBroken is a call without a complete answer.
	OutcomeBroken
)

// Observe records an outcome. It reports whether the backend server is an outlier that should be ejected: after
// maxBrokenInRow consecutive broken calls, or when at least minOutcomes are counted and the share of errors and broken
// calls among them has reached errorRate. It never reports an outlier for OutcomeOK.
func (l *Load) Observe(outcome Outcome, errorRate float64, now time.Time) bool {
	h := &l.health
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.windowStart) > healthWindow {
		h.windowStart, h.calls, h.errors = now, 0, 0
	}
	h.calls++
	switch outcome {
	case OutcomeOK:
		h.brokenInRow = 0
		if h.calls > minOutcomes && h.errors == 0 {
			h.ejectFactor = 0
		}
		return false
	case OutcomeError:
		h.brokenInRow = 0
	case OutcomeBroken:
		h.brokenInRow++
	}
	h.errors++
	if h.brokenInRow >= maxBrokenInRow {
		return true
	}
	return h.calls >= minOutcomes && float64(h.errors) >= errorRate*float64(h.calls)
}

// Eject ejects the backend server, so that it gets no calls for a time. A first ejection lasts for the time first; each
// further one lasts twice as long as the last, up to maxEjectFactor times first.
func (l *Load) Eject(first time.Duration, now time.Time) {
	h := &l.health
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ejectFactor = min(max(2*h.ejectFactor, 1), maxEjectFactor)
	h.windowStart, h.calls, h.errors, h.brokenInRow = now, 0, 0, 0
	h.ejectedUntil.Store(now.Add(time.Duration(h.ejectFactor) * first).UnixNano())
}

// Ejected reports whether the backend server is ejected.
func (l *Load) Ejected(now time.Time) bool {
	until := l.health.ejectedUntil.Load()
	return until != 0 && now.UnixNano() < until
}
