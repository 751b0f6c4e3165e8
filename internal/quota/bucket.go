package quota

import (
	"time"
)

// bucket holds the tokens of one customer at one ledger.
type bucket struct {
	tokens   float64
	capacity bucketLimit
	settled  time.Time
	demand   demand
}

// settle adds the tokens that have accrued. Weight is the sum of the loans since the last settlement.
func (b *bucket) settle(weight float64, now time.Time) {
	if passed := now.Sub(b.settled); passed > 0 {
		b.tokens += b.capacity.rate * weight * passed.Seconds()
		b.settled = now
	}
	b.limit(weight)
}

// limit removes the tokens that do not fit.
func (b *bucket) limit(weight float64) {
	b.tokens = min(b.tokens, b.capacity.depth*weight)
}

// adopt sets the limit. What accrued until now accrued by the old one; a smaller depth applies at once.
func (b *bucket) adopt(a bucketLimit, weight float64, now time.Time) {
	if b.capacity == a {
		return
	}
	b.settle(weight, now)
	b.capacity = a
	b.limit(weight)
}

// take removes up to n whole tokens and returns their number.
func (b *bucket) take(n int) int {
	taken := min(max(int(b.tokens), 0), n)
	b.tokens -= float64(taken)
	return taken
}

// nextToken returns the time until there is a whole token if none is taken meanwhile.
func (b *bucket) nextToken(weight float64) time.Duration {
	rate := b.capacity.rate * weight
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration((1-b.tokens)/rate*float64(time.Second)), maxRetryAfter)
}
