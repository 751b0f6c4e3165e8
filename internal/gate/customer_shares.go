package gate

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the age at which work counts half. A gate gets several calls of each large customer in that time, and a
	// customer that was refused gets calls through again soon after.
	usageHalfLife = 2 * time.Second
	// shareMargin is the factor by which a customer may exceed its share before its calls come after those of others. Demand
	// varies by about that much from one half-life to the next.
	shareMargin = 1.25
	// shareTolerance is the number of calls by which a customer may exceed its share, however small that is. Calls of a small
	// customer come one by one.
	shareTolerance = 2
	// maxCustomers bounds the customers that are counted. Beyond it all are forgotten and counted again.
	maxCustomers = 4096
)

// CustomerShares counts the work of a backend server by customer and tells which customers get more than their share.
//
// Load pattern: several customers compete for too few slots, and one of them sends many times its usual number of calls. The
// slots are divided in proportion to the customers' weights among those that send calls, so the others are served as if it
// sent no more than its share. Nobody is held to a share while there is room.
//
// A gate counts what it sees itself: customers spread their calls over the gates of a service, so that a customer that is over
// its share at all of them is so at each.
type CustomerShares struct {
	usage map[string]*customerUsage
}

// customerUsage is the recent work of one customer, in seconds of a slot, as of a time.
type customerUsage struct {
	work   float64
	calls  float64
	weight float64
	at     time.Time
}

// NewCustomerShares returns shares without any work.
func NewCustomerShares() *CustomerShares {
	return &CustomerShares{usage: map[string]*customerUsage{}}
}

// Charge counts a call of a customer that is expected to occupy a slot for the given time. A customer without a weight, 0,
// weighs as much as the others on average.
func (s *CustomerShares) Charge(customer string, weight float64, work time.Duration, now time.Time) {
	if customer == "" {
		return
	}
	if len(s.usage) >= maxCustomers && s.usage[customer] == nil {
		clear(s.usage)
	}
	u := s.usage[customer]
	if u == nil {
		u = &customerUsage{at: now}
		s.usage[customer] = u
	}
	u.decay(now)
	u.work += work.Seconds()
	u.calls++
	u.weight = weight
}

// Excess returns the recent work of a customer beyond its share and the tolerance, in seconds of a slot; it is not positive
// for a customer within its share.
func (s *CustomerShares) Excess(customer string, now time.Time) float64 {
	s.forgetIdle(now)
	own := s.usage[customer]
	if own == nil {
		return 0
	}
	mean := s.meanWeight()
	total, weights := 0.0, 0.0
	for _, u := range s.usage {
		total += u.work
		weights += u.weightOr(mean)
	}
	perCall := own.work / own.calls
	return own.work - shareMargin*total*own.weightOr(mean)/weights - shareTolerance*perCall
}

// forgetIdle decays all work and removes the customers that send no calls.
func (s *CustomerShares) forgetIdle(now time.Time) {
	for name, u := range s.usage {
		u.decay(now)
		if u.calls < forgottenCalls {
			delete(s.usage, name)
		}
	}
}

// meanWeight returns the mean weight of the customers that have one, 1 if none has.
func (s *CustomerShares) meanWeight() float64 {
	sum, count := 0.0, 0.0
	for _, u := range s.usage {
		if u.weight > 0 {
			sum += u.weight
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / count
}

// forgottenCalls is the decayed number of calls below which a customer counts as sending none.
const forgottenCalls = 0.05

// TimeToShare returns the time after which a customer that is refused from now on is within its share again.
func (s *CustomerShares) TimeToShare(customer string, now time.Time) time.Duration {
	excess := s.Excess(customer, now)
	if excess <= 0 {
		return 0
	}
	work := s.usage[customer].work
	return time.Duration(float64(usageHalfLife) * math.Log2(work/(work-excess)))
}

// weightOr returns the weight of the customer, or the given one if it has none.
func (u *customerUsage) weightOr(mean float64) float64 {
	if u.weight > 0 {
		return u.weight
	}
	return mean
}

// decay reduces the work by its age.
func (u *customerUsage) decay(now time.Time) {
	if age := now.Sub(u.at); age > 0 {
		factor := math.Exp2(-float64(age) / float64(usageHalfLife))
		u.work *= factor
		u.calls *= factor
		u.at = now
	}
}
