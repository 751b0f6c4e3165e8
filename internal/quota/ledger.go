package quota

import (
	"time"
)

const (
	// aheadShare is the share of the tokens beyond those for waiting calls that a node may take for the calls that it expects.
	aheadShare = 0.125
	// reserveTime is the time for which an owner keeps tokens for its own demand when it is asked for a transfer.
	reserveTime = 500 * time.Millisecond
	// transferShare is the share of the tokens beyond the reserve that one transfer may take.
	transferShare = 0.5
	// pullTime is the time for which the tokens of an owner should last; below, it asks other owners for more.
	pullTime = 500 * time.Millisecond
	// lowTime is the time for which the tokens of an owner should last by the rate; below, nodes are told to pause, so that few
	// questions are asked for the last tokens.
	lowTime = 100 * time.Millisecond
	// minPullTokens is the number of tokens below which an owner asks other owners, whatever the demand is.
	minPullTokens = 2
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked to retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Want asks for tokens of a customer.
type Want struct {
	Customer string
	// Waiting is the number of calls that wait for a token, Ahead the number of tokens for calls that are expected next.
	Waiting int
	Ahead   int
	// Refused is the number of calls that the node has refused since its last question, by the answer to that one.
	Refused int
	Rate    float64
	Burst   float64
}

// Grant is the answer to a want.
type Grant struct {
	Tokens int
	// RetryAfter is the time until the owner has a token again, set if it has few or none left.
	RetryAfter time.Duration
}

// Ledger is the state of a node as an owner: the parts of the quotas that nodes have lent to it, and the tokens that it may
// grant for them. It is not safe for concurrent use. A new ledger has no parts and no tokens, so whatever its predecessor
// granted before a restart, both together granted no more than one ledger may.
//
// Load pattern: many customers of very different size send most nodes less than a call per second, so a quota divided by the
// number of nodes would refuse nearly all; one customer at several times its usual rate gets its quota and no more, and
// costs the others nothing.
type Ledger struct {
	terms   Terms
	epoch   uint64
	started time.Time
	shards  [Shards]*shard
}

// NewLedger returns an empty ledger. The epoch must differ from those of earlier processes at the same address.
func NewLedger(terms Terms, epoch uint64, started time.Time) *Ledger {
	l := &Ledger{terms: terms, epoch: epoch, started: started}
	for i := range l.shards {
		l.shards[i] = newShard()
	}
	return l
}

// Clock returns the epoch and the clock that loans must name.
func (l *Ledger) Clock(now time.Time) (epoch uint64, clock time.Duration) {
	return l.epoch, now.Sub(l.started)
}

// Lend takes a loan. It ends loanTime after the clock that it names, so one that was delayed counts only until its lender may
// lend to another owner. It reports whether the loan counts, or has ended the earlier one.
func (l *Ledger) Lend(shardIndex int, loan Loan, now time.Time) bool {
	until := l.started.Add(loan.Clock + loanTime)
	if loan.Epoch != l.epoch || loan.Clock > now.Sub(l.started) || !now.Before(until) {
		return false
	}
	s := l.shards[shardIndex]
	s.advance(now)
	return s.lend(loan, until, now)
}

// Weight returns the share of all quotas that is lent to this ledger, 0 to 1.
func (l *Ledger) Weight(shardIndex int, now time.Time) float64 {
	s := l.shards[shardIndex]
	s.advance(now)
	return s.weight
}

// Grant grants tokens to a node: one for each waiting call as long as there are any, and some of the rest ahead.
func (l *Ledger) Grant(shardIndex int, want Want, now time.Time) Grant {
	s := l.shards[shardIndex]
	s.advance(now)
	b := s.bucket(want.Customer, l.terms.bucketLimit(want.Rate, want.Burst), now)
	if b == nil {
		return Grant{RetryAfter: maxRetryAfter}
	}
	b.demand.add(want.Waiting+want.Refused, now)
	granted := b.take(want.Waiting)
	if granted < want.Waiting {
		return Grant{Tokens: granted, RetryAfter: max(b.nextToken(s.weight), minRetryAfter)}
	}
	grant := Grant{Tokens: granted + b.take(min(want.Ahead, int(aheadShare*b.tokens)))}
	if b.tokens < max(b.capacity.rate*s.weight*lowTime.Seconds(), 1) {
		grant.RetryAfter = max(b.nextToken(s.weight), minRetryAfter)
	}
	return grant
}

// Give removes up to want tokens for the owner in another failure domain and returns their number.
func (l *Ledger) Give(shardIndex int, customer string, want float64, a bucketLimit, now time.Time) float64 {
	s := l.shards[shardIndex]
	s.advance(now)
	b := s.bucket(customer, a, now)
	if b == nil {
		return 0
	}
	spare := b.tokens - b.demand.perSecond(now)*reserveTime.Seconds()
	given := max(min(transferShare*spare, want), 0)
	b.tokens -= given
	return given
}

// Receive adds tokens that another owner gave. What does not fit is lost.
func (l *Ledger) Receive(shardIndex int, customer string, tokens float64, a bucketLimit, now time.Time) {
	s := l.shards[shardIndex]
	s.advance(now)
	if b := s.bucket(customer, a, now); b != nil {
		b.tokens += max(tokens, 0)
		b.limit(s.weight)
	}
}

// Lacking returns the number of tokens that should be asked of other owners, 0 if there are enough for now.
func (l *Ledger) Lacking(shardIndex int, customer string, a bucketLimit, now time.Time) float64 {
	s := l.shards[shardIndex]
	s.advance(now)
	b := s.bucket(customer, a, now)
	if b == nil {
		return 0
	}
	expected := b.demand.perSecond(now)
	if b.tokens >= max(expected*pullTime.Seconds(), minPullTokens) {
		return 0
	}
	room := a.depth*s.weight - b.tokens
	return max(min(room, max(2*expected, 2*minPullTokens)), 0)
}
