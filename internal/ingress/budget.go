package ingress

import (
	"sync"
	"time"
)

const (
	// repeatShare is the part of a service's first sends that a node may add as repeats. All nodes together stay below
	// the share of requests that the deployment allows, with room for the repeats of nodes that have just started.
	repeatShare = 0.1
	// repeatBurst is the number of repeats that a node may have saved up. It bounds what all nodes send at once.
	repeatBurst = 3.0
	// budgetMemory is the time after which the budget of a service that is not called any more is forgotten.
	budgetMemory = time.Minute
)

// budget bounds what this node sends a second time, by service. It is safe for use by many goroutines.
//
// Load pattern: when backend servers of a service fail or turn calls away, repeats by all nodes together would multiply
// the load that made them fail. No node knows what the others send, so each may repeat a share of its own calls only.
type budget struct {
	mu     sync.Mutex
	tokens map[string]*tokens
}

type tokens struct {
	left float64
	used time.Time
}

func newBudget() *budget {
	return &budget{tokens: map[string]*tokens{}}
}

// first counts the first send of a call.
func (b *budget) first(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.of(service, now)
	t.left = min(t.left+repeatShare, repeatBurst)
}

// repeat reports whether a call may be sent once more, and counts it.
func (b *budget) repeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.of(service, now)
	if t.left < 1 {
		return false
	}
	t.left--
	return true
}

func (b *budget) of(service string, now time.Time) *tokens {
	t := b.tokens[service]
	if t == nil {
		t = &tokens{left: 1}
		b.tokens[service] = t
		for name, other := range b.tokens {
			if now.Sub(other.used) > budgetMemory && name != service {
				delete(b.tokens, name)
			}
		}
	}
	t.used = now
	return t
}
