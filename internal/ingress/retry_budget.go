package ingress

import (
	"sync"
	"time"
)

const (
	// retryShare is the number of retries that a node may add for each first send to a service. It keeps all nodes
	// together below the share of retries that the deployment allows, and leaves room for the retries of nodes that have
	// just started.
	retryShare = 0.1
	// retryBurst is the size of a token bucket, in retries. It limits how many retries all nodes can send at once.
	retryBurst = 3.0
	// budgetExpiry is the time without calls after which the token bucket of a service is removed.
	budgetExpiry = time.Minute
)

// retryBudget limits the retries of this node by service. It is safe for concurrent use.
//
// Load pattern: when backend servers of a service fail or refuse calls, retries by all nodes would multiply the load that
// made them fail. No node knows what the others send, so each node may retry only a share of its own calls.
type retryBudget struct {
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket holds the retries that may be sent to one service; each costs one token.
type tokenBucket struct {
	tokens   float64
	lastUsed time.Time
}

func newRetryBudget() *retryBudget {
	return &retryBudget{buckets: map[string]*tokenBucket{}}
}

// recordFirstSend adds the tokens that the first send of a call earns.
func (b *retryBudget) recordFirstSend(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service, now)
	t.tokens = min(t.tokens+retryShare, retryBurst)
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
