package local

import (
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
)

// Breakers holds the breakers of all moves that a node knows of. It is safe for concurrent use.
type Breakers struct {
	mu sync.Mutex
	// byService holds the breaker of the latest move of each service.
	byService map[string]*moveBreaker
}

// moveBreaker is a breaker with the id of its move.
type moveBreaker struct {
	moveID  string
	breaker *Breaker
}

// NewBreakers returns an empty Breakers.
func NewBreakers() *Breakers {
	return &Breakers{byService: map[string]*moveBreaker{}}
}

// Limit returns the share that the new version of a service's move may get on this node, in basis points. Outside of a
// move it returns the given share.
func (b *Breakers) Limit(now time.Time, service *apiv1.ServiceConfig, share uint32) uint32 {
	if service.MoveId == "" {
		return share
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker(now, service).Limit(now, share)
}

// Record adds the outcome of a call to a version of the service. Outside of a move it does nothing.
func (b *Breakers) Record(now time.Time, service *apiv1.ServiceConfig, version string, bad bool) {
	if service.MoveId == "" || len(service.Shares) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaker(now, service).Record(now, version == service.Shares[0].Version, bad)
}

// breaker returns the breaker of the service's current move. It replaces the breaker of an earlier move.
func (b *Breakers) breaker(now time.Time, service *apiv1.ServiceConfig) *Breaker {
	current := b.byService[service.Name]
	if current == nil || current.moveID != service.MoveId {
		current = &moveBreaker{moveID: service.MoveId, breaker: NewBreaker(now)}
		b.byService[service.Name] = current
	}
	return current.breaker
}
