package quota

import (
	"time"
)

const (
	// DefaultWindow is the window if the settings have none.
	DefaultWindow = 5 * time.Second
	// maxTransitTime bounds the time for which a token is neither at a ledger nor spent. Longer leases save few messages:
	// most customers send a node less than one call in this time.
	maxTransitTime = 500 * time.Millisecond
	// minTransitTime lets tokens reach another failure domain if the settings allow no overrun.
	minTransitTime = 50 * time.Millisecond
	// leaseShare is the share of the transit time for leases of nodes; the rest is for transfers between owners.
	leaseShare = 0.8
	// minDepthShare is the share of the calls of a window that may arrive at once, if less would be left.
	minDepthShare = 0.1
)

// Terms say how many calls of a customer may run in any window: (rate x Window + burst) x (1 + Overrun) + Slack.
type Terms struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// Bound returns the number of calls that may run in any window.
func (t Terms) Bound(rate, burst float64) float64 {
	return (rate*t.window().Seconds()+burst)*(1+t.Overrun) + t.Slack
}

func (t Terms) window() time.Duration {
	if t.Window <= 0 {
		return DefaultWindow
	}
	return t.Window
}

// transitTime is the longest time from when a token leaves a ledger until it is spent or enters another ledger.
func (t Terms) transitTime() time.Duration {
	return min(max(time.Duration(t.Overrun*float64(t.window())), minTransitTime), maxTransitTime)
}

// LeaseTime is the time for which a node may spend granted tokens, from when it asked for them.
func (t Terms) LeaseTime() time.Duration {
	return time.Duration(leaseShare * float64(t.transitTime()))
}

// TransferTime is the time after which an answer to a transfer is void, from when the transfer was requested.
func (t Terms) TransferTime() time.Duration {
	return t.transitTime() - t.LeaseTime()
}

// bucketLimit is what all ledgers together may grant to a customer: rate tokens per second, and depth tokens at once.
type bucketLimit struct {
	rate  float64
	depth float64
}

// bucketLimit returns the largest limit within the bound. What is spent in a window was at a ledger or accrued there in the
// window or up to transitTime before it, which makes depth + rate x (window + transitTime) tokens.
func (t Terms) bucketLimit(rate, burst float64) bucketLimit {
	if rate <= 0 {
		return bucketLimit{}
	}
	bound, span := t.Bound(rate, burst), (t.window() + t.transitTime()).Seconds()
	depth := max(bound-rate*span, minDepthShare*bound)
	return bucketLimit{rate: min(rate, (bound-depth)/span), depth: depth}
}
