package proxy

import (
	"sync"
	"time"

	"samphireflow/internal/routing"
)

const (
	// poolIdleTimeout is the time after which an unused pool is removed.
	poolIdleTimeout = 2 * time.Minute
	// poolSweepInterval is the least time between two searches for unused pools.
	poolSweepInterval = 30 * time.Second
)

// poolKey identifies one incarnation of a backend server at one address.
type poolKey struct {
	instance    string
	incarnation uint64
	addr        string
}

// connPools holds the connection pool of each backend server that calls were sent to.
type connPools struct {
	dial dialFunc
	// byServer maps poolKey to *connPool.
	byServer  sync.Map
	mu        sync.Mutex
	lastSweep time.Time
}

func newConnPools(dial dialFunc) *connPools {
	return &connPools{dial: dial}
}

func (p *connPools) get(server *routing.Server, now time.Time) *connPool {
	key := poolKey{server.Info.Instance, server.Info.Incarnation, server.Info.Addr}
	if found, ok := p.byServer.Load(key); ok {
		return found.(*connPool)
	}
	p.removeIdle(now)
	found, _ := p.byServer.LoadOrStore(key, newConnPool(server, p.dial))
	return found.(*connPool)
}

// removeIdle removes unused pools, so that those of former incarnations do not accumulate.
func (p *connPools) removeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastSweep) < poolSweepInterval {
		return
	}
	p.lastSweep = now
	p.byServer.Range(func(key, value any) bool {
		if pool := value.(*connPool); pool.idleSince(now.Add(-poolIdleTimeout)) {
			p.byServer.Delete(key)
			pool.transport.CloseIdleConnections()
		}
		return true
	})
}

// closeIdle closes the idle connections of all pools.
func (p *connPools) closeIdle() {
	p.byServer.Range(func(_, value any) bool {
		value.(*connPool).transport.CloseIdleConnections()
		return true
	})
}
