package outcome

import (
	"sort"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
)

// Key identifies the calls whose outcomes are counted together.
type Key struct {
	Service       string
	Version       string
	Route         string
	FailureDomain string
}

// Aggregator counts outcomes until they are taken. It is safe for concurrent use.
type Aggregator struct {
	failureDomain string

	mu     sync.Mutex
	counts map[Key]*apiv1.OutcomeCount
	// totals holds the counts that were taken since the process started.
	totals map[Key]Total
}

// NewAggregator returns an empty aggregator for the calls of one failure domain.
func NewAggregator(failureDomain string) *Aggregator {
	return &Aggregator{failureDomain: failureDomain, counts: map[Key]*apiv1.OutcomeCount{}, totals: map[Key]Total{}}
}

// Record counts one attempt of a call. A broken attempt ended without a complete answer.
func (a *Aggregator) Record(service, version, route string, ok, broken bool, duration time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := a.count(Key{service, version, route, a.failureDomain})
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

// Add adds the counts of another process.
func (a *Aggregator) Add(outcomes []*apiv1.OutcomeCount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, other := range outcomes {
		merge(a.count(Key{other.Service, other.Version, other.Route, other.FailureDomain}), other)
	}
}

// count returns the count of a key and creates it if needed. The caller must hold mu.
func (a *Aggregator) count(key Key) *apiv1.OutcomeCount {
	count := a.counts[key]
	if count == nil {
		count = &apiv1.OutcomeCount{
			Service:         key.Service,
			Version:         key.Version,
			Route:           key.Route,
			FailureDomain:   key.FailureDomain,
			DurationBuckets: make([]uint64, BucketCount),
		}
		a.counts[key] = count
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

// Take returns the counts since the previous call, sorted by service, route and version, and resets them.
func (a *Aggregator) Take() []*apiv1.OutcomeCount {
	a.mu.Lock()
	taken := a.counts
	a.counts = map[Key]*apiv1.OutcomeCount{}
	for key, count := range taken {
		total := a.totals[key]
		total.Key = key
		total.add(count.Ok, count.Errors, count.Broken)
		a.totals[key] = total
	}
	a.mu.Unlock()
	list := make([]*apiv1.OutcomeCount, 0, len(taken))
	for _, count := range taken {
		list = append(list, count)
	}
	sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
	return list
}

func less(a, b *apiv1.OutcomeCount) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	if a.Route != b.Route {
		return a.Route < b.Route
	}
	return a.Version < b.Version
}
