package outcome

import (
	"sort"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
)

// Key names what outcomes are summed by.
type Key struct {
	Service       string
	Version       string
	Route         string
	FailureDomain string
}

// Aggregator counts outcomes until they are taken. It is safe for use by many goroutines.
type Aggregator struct {
	failureDomain string

	mu     sync.Mutex
	counts map[Key]*apiv1.OutcomeCount
	// totals holds what was taken before.
	totals map[Key]Total
}

// NewAggregator returns an empty sum for the calls of one failure domain.
func NewAggregator(failureDomain string) *Aggregator {
	return &Aggregator{failureDomain: failureDomain, counts: map[Key]*apiv1.OutcomeCount{}, totals: map[Key]Total{}}
}

// Record counts one call.
func (s *Aggregator) Record(service, version, route string, ok, broken bool, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.count(Key{service, version, route, s.failureDomain})
	count.DurationBuckets[Bucket(duration)]++
	if ok {
		count.Ok++
	} else {
		count.Errors++
	}
	if broken {
		count.Broken++
	}
}

// Add counts what another process has summed.
func (s *Aggregator) Add(outcomes []*apiv1.OutcomeCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range outcomes {
		merge(s.count(Key{other.Service, other.Version, other.Route, other.FailureDomain}), other)
	}
}

func (s *Aggregator) count(key Key) *apiv1.OutcomeCount {
	count := s.counts[key]
	if count == nil {
		count = &apiv1.OutcomeCount{
			Service:         key.Service,
			Version:         key.Version,
			Route:           key.Route,
			FailureDomain:   key.FailureDomain,
			DurationBuckets: make([]uint64, BucketCount),
		}
		s.counts[key] = count
	}
	return count
}

func merge(to, from *apiv1.OutcomeCount) {
	to.Ok += from.Ok
	to.Errors += from.Errors
	to.Broken += from.Broken
	for i, n := range from.DurationBuckets {
		to.DurationBuckets[min(i, BucketCount-1)] += n
	}
}

// Take returns what was counted since the last call, sorted, and starts anew.
func (s *Aggregator) Take() []*apiv1.OutcomeCount {
	s.mu.Lock()
	taken := s.counts
	s.counts = map[Key]*apiv1.OutcomeCount{}
	for key, count := range taken {
		total := s.totals[key]
		total.Key = key
		total.add(count.Ok, count.Errors, count.Broken)
		s.totals[key] = total
	}
	s.mu.Unlock()
	list := make([]*apiv1.OutcomeCount, 0, len(taken))
	for _, count := range taken {
		list = append(list, count)
	}
	sort.Slice(list, func(i, j int) bool { return before(list[i], list[j]) })
	return list
}

func before(a, b *apiv1.OutcomeCount) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	if a.Route != b.Route {
		return a.Route < b.Route
	}
	return a.Version < b.Version
}
