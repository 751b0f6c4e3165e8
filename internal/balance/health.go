package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// healthWindow is the time over which outcomes are counted.
	healthWindow = 5 * time.Second
	// leastOutcomes is the number of outcomes that an error rate needs.
	leastOutcomes = 8
	// brokenRun is the number of broken calls in a row that ejects without regard to the rate.
	brokenRun = 3
	// longestEjection bounds the growth of the time of repeated ejections, as a factor on the first.
	longestEjection = 8
)

// health counts how the calls to a backend server ended and for how long it is ejected.
type health struct {
	// until is the end of the ejection in Unix nanoseconds; 0 for none.
	until atomic.Int64

	mu      sync.Mutex
	started time.Time
	calls   int
	errors  int
	run     int
	factor  int
}

// Outcome says how one call ended, as far as it speaks for or against the backend server.
type Outcome int

// The outcomes that are counted.
const (
	// OutcomeOK is a whole answer without a server error.
	OutcomeOK Outcome = iota
	// OutcomeError is a whole answer with a server error.
	OutcomeError
	// OutcomeBroken is a call without a whole answer.
	OutcomeBroken
)

// Observe counts an outcome. It reports whether the backend server has become an outlier that should be ejected.
func (l *Load) Observe(outcome Outcome, errorRate float64, now time.Time) bool {
	h := &l.health
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.started) > healthWindow {
		h.started, h.calls, h.errors = now, 0, 0
	}
	h.calls++
	switch outcome {
	case OutcomeOK:
		h.run = 0
		if h.calls > leastOutcomes && h.errors == 0 {
			h.factor = 0
		}
		return false
	case OutcomeError:
		h.run = 0
	case OutcomeBroken:
		h.run++
	}
	h.errors++
	if h.run >= brokenRun {
		return true
	}
	return h.calls >= leastOutcomes && float64(h.errors) >= errorRate*float64(h.calls)
}

// Eject keeps calls away for the time given, longer at each repetition.
func (l *Load) Eject(first time.Duration, now time.Time) {
	h := &l.health
	h.mu.Lock()
	defer h.mu.Unlock()
	h.factor = min(max(2*h.factor, 1), longestEjection)
	h.started, h.calls, h.errors, h.run = now, 0, 0, 0
	h.until.Store(now.Add(time.Duration(h.factor) * first).UnixNano())
}

// Ejected reports whether calls are kept away.
func (l *Load) Ejected(now time.Time) bool {
	until := l.health.until.Load()
	return until != 0 && now.UnixNano() < until
}
