package whole

import (
	"sync"

	"samphireflow/internal/proxy"
)

// ledger records the outcome of every attempt by idempotency key.
type ledger struct {
	mu        sync.Mutex
	outcomes  map[string][]proxy.Outcome
	defects   []string
	attempts  int
	completed int
}

func newLedger() *ledger {
	return &ledger{outcomes: map[string][]proxy.Outcome{}}
}

func (l *ledger) record(key string, got attemptResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	if got.outcome == proxy.OutcomeDone {
		l.completed++
	}
	if key != "" {
		l.outcomes[key] = append(l.outcomes[key], got.outcome)
	}
	if got.defect != "" {
		l.defects = append(l.defects, key+": "+got.defect)
	}
}

// violations compares the recorded outcomes with the number of executions of each key, and lists every contradiction.
func (l *ledger) violations(executionCounts map[string]int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := append([]string(nil), l.defects...)
	for key, outcomes := range l.outcomes {
		executions := executionCounts[key]
		if executions > 1 {
			list = append(list, key+" was executed more than once")
		}
		if executions > 0 && allNotRun(outcomes) {
			list = append(list, key+" was executed although every attempt was reported as not-run")
		}
		if executions == 0 && anyDone(outcomes) {
			list = append(list, key+" was not executed although its caller got a response")
		}
	}
	return list
}

func allNotRun(outcomes []proxy.Outcome) bool {
	for _, outcome := range outcomes {
		if outcome != proxy.OutcomeNotRun {
			return false
		}
	}
	return true
}

func anyDone(outcomes []proxy.Outcome) bool {
	for _, outcome := range outcomes {
		if outcome == proxy.OutcomeDone {
			return true
		}
	}
	return false
}
