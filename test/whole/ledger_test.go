package whole

import (
	"sync"

	"samphireflow/internal/proxy"
)

// ledger remembers what callers were told about each key, attempt by attempt.
type ledger struct {
	mu     sync.Mutex
	told   map[string][]proxy.Outcome
	faults []string
	calls  int
	good   int
}

func newLedger() *ledger {
	return &ledger{told: map[string][]proxy.Outcome{}}
}

func (l *ledger) record(key string, got told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if got.outcome == proxy.OutcomeDone {
		l.good++
	}
	if key != "" {
		l.told[key] = append(l.told[key], got.outcome)
	}
	if got.fault != "" {
		l.faults = append(l.faults, key+": "+got.fault)
	}
}

// breaches compares what was told with how often each key was run.
func (l *ledger) breaches(runs map[string]int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := append([]string(nil), l.faults...)
	for key, outcomes := range l.told {
		n := runs[key]
		if n > 1 {
			list = append(list, key+" was run more than once")
		}
		if n > 0 && allNotRun(outcomes) {
			list = append(list, key+" was run, its caller was told not-run each time")
		}
		if n == 0 && anyDone(outcomes) {
			list = append(list, key+" was not run, its caller got an answer")
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
