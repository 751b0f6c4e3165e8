package quota

import (
	"slices"
	"time"
)

const (
	// stockTime is the time for whose expected calls a node keeps tokens.
	stockTime = 300 * time.Millisecond
	// refusalTime is the time for which a node does not ask an owner that has no token left. Load pattern: a customer at several
	// times its quota. If each node asked for each call, the owner would spend its processor time on refusals; so the tokens
	// collect meanwhile, and the next answer gives several.
	refusalTime = 150 * time.Millisecond
)

// lease is a number of tokens that may be spent until a time.
type lease struct {
	tokens int
	until  time.Time
}

// stock holds the tokens of one customer at one node. It is not safe for concurrent use.
type stock struct {
	leases []lease
	demand demand
	// refusedUntil is the time until which calls are refused without asking, retryAt when a refused one should come back.
	refusedUntil time.Time
	retryAt      time.Time
	// refused is the number of calls that were refused without asking.
	refused int
}

// take spends a token and reports whether there was one, with the time until which it may be given back. The lease that
// ends first is used first.
func (s *stock) take(now time.Time) (until time.Time, ok bool) {
	for len(s.leases) > 0 {
		first := &s.leases[0]
		if first.tokens > 0 && now.Before(first.until) {
			first.tokens--
			return first.until, true
		}
		s.leases = s.leases[1:]
	}
	return time.Time{}, false
}

// add adds tokens that may be spent until the given time.
func (s *stock) add(tokens int, until, now time.Time) {
	if tokens <= 0 || !now.Before(until) {
		return
	}
	at := len(s.leases)
	for at > 0 && until.Before(s.leases[at-1].until) {
		at--
	}
	s.leases = slices.Insert(s.leases, at, lease{tokens, until})
}

// size returns the number of tokens that can be spent.
func (s *stock) size(now time.Time) int {
	count := 0
	for _, l := range s.leases {
		if now.Before(l.until) {
			count += l.tokens
		}
	}
	return count
}

// ahead returns the number of tokens to ask for beyond those for waiting calls.
func (s *stock) ahead(now time.Time) int {
	return max(int(s.demand.perSecond(now)*stockTime.Seconds())-s.size(now), 0)
}

// refuse records that the owner has no token left.
func (s *stock) refuse(retryAfter time.Duration, now time.Time) {
	s.refusedUntil = now.Add(refusalTime)
	s.retryAt = now.Add(max(retryAfter, refusalTime))
}
