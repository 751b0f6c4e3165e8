package deployment

import (
	"sync"
	"time"

	"samphireflow/internal/proxy"
)

// served identifies the calls of a failure domain to a service that one version answered.
type served struct {
	domain  string
	service string
	version string
}

// count counts calls.
type count struct {
	calls int
	good  int
}

// tally counts the calls of all callers. It remembers what was told about each key.
type tally struct {
	mu     sync.Mutex
	counts map[served]count
	// last is the time of the last answer of each service and version.
	last   map[served]time.Time
	told   map[string]proxy.Outcome
	faults []string
}

func newTally() *tally {
	return &tally{counts: map[served]count{}, last: map[served]time.Time{}, told: map[string]proxy.Outcome{}}
}

func (t *tally) record(domain string, request *request, got answer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := served{domain: domain, service: request.route.Service, version: got.version}
	sum := t.counts[key]
	sum.calls++
	if got.good() {
		sum.good++
	}
	t.counts[key] = sum
	t.last[served{service: request.route.Service, version: got.version}] = now
	if request.key != "" {
		t.told[request.key] = got.outcome
	}
	if got.fault != "" {
		t.faults = append(t.faults, request.route.Method+" "+request.path+": "+got.fault)
	}
}

// sum adds up the calls that a filter selects.
func (t *tally) sum(selects func(served) bool) count {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum count
	for key, part := range t.counts {
		if selects(key) {
			sum.calls += part.calls
			sum.good += part.good
		}
	}
	return sum
}

// lastAnswer returns the time of the last answer of a version.
func (t *tally) lastAnswer(service, version string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last[served{service: service, version: version}]
}

// answersToldWrong returns the answers that were not whole or belonged to another request.
func (t *tally) answersToldWrong() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.faults...)
}

// toldByKey returns what was told about each key.
func (t *tally) toldByKey() map[string]proxy.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	told := make(map[string]proxy.Outcome, len(t.told))
	for key, outcome := range t.told {
		told[key] = outcome
	}
	return told
}
