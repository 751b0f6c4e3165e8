package quota

import (
	"time"
)

const (
	// Shards is the number of groups of customers, each with its owner in a failure domain. More owners share the work
	// better but cost each node more loans.
	Shards = 8
	// maxLenders bounds the lenders of a shard and maxBuckets its customers.
	maxLenders = 2048
	maxBuckets = 4096
	// bucketExpiry is the time after which an unused bucket is dropped. It has long been full then.
	bucketExpiry = 10 * time.Minute
)

// shard holds the loans for a group of customers and their buckets at one ledger.
type shard struct {
	loans map[string]heldLoan
	// weight is the sum of the loans, nextEnd the earliest end of one.
	weight  float64
	nextEnd time.Time
	buckets map[string]*bucket
}

func newShard() *shard {
	return &shard{loans: map[string]heldLoan{}, buckets: map[string]*bucket{}}
}

// advance ends the loans whose time has passed, in the order of their ends, so that no token accrues for them later.
func (s *shard) advance(now time.Time) {
	for !s.nextEnd.IsZero() && !now.Before(s.nextEnd) {
		end := s.nextEnd
		s.settle(end)
		for lender, loan := range s.loans {
			if !end.Before(loan.until) {
				delete(s.loans, lender)
			}
		}
		s.reweigh()
	}
}

// settle settles all buckets.
func (s *shard) settle(at time.Time) {
	for _, b := range s.buckets {
		b.settle(s.weight, at)
	}
}

// reweigh sums the loans up again; buckets lose what no longer fits.
func (s *shard) reweigh() {
	s.weight, s.nextEnd = 0, time.Time{}
	for _, loan := range s.loans {
		s.weight += loan.weight
		if s.nextEnd.IsZero() || loan.until.Before(s.nextEnd) {
			s.nextEnd = loan.until
		}
	}
	for _, b := range s.buckets {
		b.limit(s.weight)
	}
}

// lend takes a loan until the given time. It reports false for an outdated one.
func (s *shard) lend(loan Loan, until, now time.Time) bool {
	held, known := s.loans[loan.Lender]
	if known && loan.Sequence <= held.sequence || !known && len(s.loans) >= maxLenders {
		return false
	}
	weight := min(max(loan.Weight, 0), 1)
	next := heldLoan{weight: weight, sequence: loan.Sequence, since: held.since, until: until}
	if held.until.After(until) {
		next.until = held.until
	}
	if weight > held.weight {
		next.since = now
	}
	if weight == held.weight {
		s.loans[loan.Lender] = next
		if s.nextEnd.IsZero() || !held.until.After(s.nextEnd) {
			s.reweigh()
		}
		return true
	}
	s.settle(now)
	s.loans[loan.Lender] = next
	s.reweigh()
	return true
}

// bucket returns the settled bucket of a customer with the given limit, nil if there are too many customers.
func (s *shard) bucket(customer string, a bucketLimit, now time.Time) *bucket {
	b := s.buckets[customer]
	if b == nil {
		if len(s.buckets) >= maxBuckets && !s.dropUnused(now) {
			return nil
		}
		b = &bucket{tokens: s.accrued(a, now), capacity: a, settled: now}
		s.buckets[customer] = b
		return b
	}
	b.adopt(a, s.weight, now)
	b.settle(s.weight, now)
	return b
}

// accrued returns the tokens that a customer without calls has accrued: each lender's part since the loan began.
func (s *shard) accrued(a bucketLimit, now time.Time) float64 {
	var sum float64
	for _, loan := range s.loans {
		sum += loan.weight * min(a.rate*now.Sub(loan.since).Seconds(), a.depth)
	}
	return sum
}

// dropUnused drops the buckets that were not used for long and reports whether there is room for another.
func (s *shard) dropUnused(now time.Time) bool {
	for name, b := range s.buckets {
		if now.Sub(b.demand.at) > bucketExpiry {
			delete(s.buckets, name)
		}
	}
	return len(s.buckets) < maxBuckets
}
