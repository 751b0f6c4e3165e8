package quota

import (
	"time"
)

const (
	// minPullWait and maxPullWait bound the time between two requests for tokens of a customer to other failure domains. It
	// doubles while they have none to spare, because bytes between failure domains are dear.
	minPullWait = 200 * time.Millisecond
	maxPullWait = 3200 * time.Millisecond
	// goodPullShare is the share of the wanted tokens above which the wait is not doubled.
	goodPullShare = 0.25
)

// pull is the state of the requests for tokens of one customer to other failure domains.
type pull struct {
	wait time.Duration
	next time.Time
	// domain counts the requests; each goes to the next failure domain.
	domain int
}

// sent records a request.
func (p *pull) sent(now time.Time) {
	p.wait = min(max(2*p.wait, minPullWait), maxPullWait)
	p.next = now.Add(p.wait)
	p.domain++
}

// received records what came of a request.
func (p *pull) received(tokens, wanted float64, now time.Time) {
	if tokens >= goodPullShare*wanted {
		p.wait, p.next = 0, now
	}
}
