package ingress

import (
	"sync"
	"time"
)

const (
	// DefaultRetryRatio is the ratio of retries to calls that all nodes together keep below, if it is not configured.
	DefaultRetryRatio = 0.2
	// ratioUse is the part of the ratio that nodes plan with. The rest is for the initial tokens of started nodes, and for
	// calls that arrive in another window than their retries.
	ratioUse = 0.8
	// slackUse is the part of the configured slack that all full buckets together hold.
	slackUse = 0.8
	// minRetryBurst and maxRetryBurst bound the size of a token bucket, in retries. A bucket below 1 would allow none, so
	// with more nodes than that part of the slack, full buckets hold more than it.
	minRetryBurst = 1.0
	maxRetryBurst = 3.0
	// budgetExpiry is the time without calls after which the token bucket of a service is removed.
	budgetExpiry = time.Minute
)

// RetryLimits are the limits on the retries to one service, summed over all nodes.
type RetryLimits struct {
	// Ratio is the ratio of retries to calls; 0 selects DefaultRetryRatio.
	Ratio float64
	// Slack is the number of further retries that all nodes may send at once; 0 sets no limit on their sum.
	Slack float64
}

// burst returns the size of each node's token bucket for a number of nodes.
func (l RetryLimits) burst(nodes int) float64 {
	if l.Slack <= 0 {
		return maxRetryBurst
	}
	return min(max(slackUse*l.Slack/float64(max(nodes, 1)), minRetryBurst), maxRetryBurst)
}

// share returns the number of retries that a node may add for each first send.
func (l RetryLimits) share() float64 {
	if l.Ratio <= 0 {
		return ratioUse * DefaultRetryRatio
	}
	return ratioUse * l.Ratio
}

// retryBudget limits the retries of this node by service. It is safe for concurrent use.
//
// Load pattern: when backend servers of a service fail or refuse calls, retries by all nodes would multiply the load that
// made them fail. No node knows what the others send, so each node may retry only a share of its own calls, and its bucket
// shrinks with the number of nodes.
//
// A run that is itself a retry makes its calls to other services again. They add to the load there like retries, so the
// calls of a node earn less by the share of retries among the runs at its backend server.
type retryBudget struct {
	limits  RetryLimits
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket holds the retries that may be sent to one service; each costs one token.
type tokenBucket struct {
	tokens   float64
	lastUsed time.Time
}

func newRetryBudget(limits RetryLimits) *retryBudget {
	return &retryBudget{limits: limits, buckets: map[string]*tokenBucket{}}
}

// recordFirstSend adds the tokens that the first send of a call earns. Repeated is the share of retries among the runs at
// the backend server beside this node, nodes the number of nodes.
func (b *retryBudget) recordFirstSend(service string, repeated float64, nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service, now)
	t.tokens = min(t.tokens+max(b.limits.share()-repeated, 0), b.limits.burst(nodes))
}

// takeRetry reports whether a call may be retried, and if so takes a token.
func (b *retryBudget) takeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service, now)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// bucket returns the token bucket of a service. When it creates one, it removes expired ones.
func (b *retryBudget) bucket(service string, now time.Time) *tokenBucket {
	t := b.buckets[service]
	if t == nil {
		t = &tokenBucket{tokens: 1}
		b.buckets[service] = t
		for name, other := range b.buckets {
			if now.Sub(other.lastUsed) > budgetExpiry && name != service {
				delete(b.buckets, name)
			}
		}
	}
	t.lastUsed = now
	return t
}
