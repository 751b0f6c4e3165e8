package local

import (
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
)

// Breakers keeps the breakers of the running moves of a node. It is safe for use by many goroutines.
type Breakers struct {
	mu       sync.Mutex
	breakers map[string]*guarded
}

// guarded is the breaker of a service's move.
type guarded struct {
	moveID  string
	breaker *Breaker
}

// NewBreakers returns an empty Breakers.
func NewBreakers() *Breakers {
	return &Breakers{breakers: map[string]*guarded{}}
}

// Limit returns the share that the new version of a service's move may get on this node, in basis points.
func (g *Breakers) Limit(now time.Time, service *apiv1.ServiceConfig, share uint32) uint32 {
	if service.MoveId == "" {
		return share
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.breaker(now, service).Limit(now, share)
}

// Record takes in the outcome of a call to a version of the service. It does nothing outside of a move.
func (g *Breakers) Record(now time.Time, service *apiv1.ServiceConfig, version string, bad bool) {
	if service.MoveId == "" || len(service.Shares) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaker(now, service).Record(now, version == service.Shares[0].Version, bad)
}

// breaker returns the breaker of the service's present move; one of an earlier move is dropped.
func (g *Breakers) breaker(now time.Time, service *apiv1.ServiceConfig) *Breaker {
	kept := g.breakers[service.Name]
	if kept == nil || kept.moveID != service.MoveId {
		kept = &guarded{moveID: service.MoveId, breaker: NewBreaker(now)}
		g.breakers[service.Name] = kept
	}
	return kept.breaker
}
