package deployment

import (
	"sync"
	"time"

	"samphireflow/internal/proxy"
)

// callGroup identifies the calls from a failure domain to a service that one version answered.
type callGroup struct {
	domain  string
	service string
	version string
}

// callCount is a number of calls, and how many of them succeeded.
type callCount struct {
	calls     int
	succeeded int
}

// callStats counts the calls of all callers and keeps the outcome of each idempotency key.
type callStats struct {
	mu     sync.Mutex
	counts map[callGroup]callCount
	// lastResponses holds the time of the last response of each version of a service; the failure domain stays empty.
	lastResponses map[callGroup]time.Time
	// outcomes holds the outcome of each idempotency key, and problems describes each invalid response.
	outcomes map[string]proxy.Outcome
	problems []string
}

func newCallStats() *callStats {
	return &callStats{counts: map[callGroup]callCount{}, lastResponses: map[callGroup]time.Time{}, outcomes: map[string]proxy.Outcome{}}
}

// record adds the result of a request.
func (s *callStats) record(domain string, request *request, got callResult, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := callGroup{domain: domain, service: request.route.Service, version: got.version}
	sum := s.counts[key]
	sum.calls++
	if got.succeeded() {
		sum.succeeded++
	}
	s.counts[key] = sum
	s.lastResponses[callGroup{service: request.route.Service, version: got.version}] = now
	if request.key != "" {
		s.outcomes[request.key] = got.outcome
	}
	if got.problem != "" {
		s.problems = append(s.problems, request.route.Method+" "+request.path+": "+got.problem)
	}
}

// sum adds up the calls of the groups that selects accepts.
func (s *callStats) sum(selects func(callGroup) bool) callCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum callCount
	for key, part := range s.counts {
		if selects(key) {
			sum.calls += part.calls
			sum.succeeded += part.succeeded
		}
	}
	return sum
}

// lastResponse returns the time of the last response of a version.
func (s *callStats) lastResponse(service, version string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastResponses[callGroup{service: service, version: version}]
}

// invalidResponses describes the responses that were incomplete, belonged to another request or had no outcome.
func (s *callStats) invalidResponses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.problems...)
}

// outcomesByKey returns the outcome that the caller of each key got.
func (s *callStats) outcomesByKey() map[string]proxy.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcomes := make(map[string]proxy.Outcome, len(s.outcomes))
	for key, outcome := range s.outcomes {
		outcomes[key] = outcome
	}
	return outcomes
}
