package exchange

import (
	"sync"
	"time"
)

const (
	// defaultIdleTimeout is the time for which an idle connection is kept if the server does not report its own timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is the time before the server's idle timeout from which a connection is no longer used.
	idleMargin = time.Second
	// maxFreshIdle is the idle time up to which a connection counts as fresh, that is, as not yet closed by the server.
	maxFreshIdle = 5 * time.Second
	// sweepInterval is the shortest time between two sweeps, which close connections that have been idle for too long.
	sweepInterval = 2 * time.Second
)

// pool holds the idle connections to each address. The most recently used connection is taken first, so that few
// connections stay in use and the others reach their idle timeout. It is safe for concurrent use.
type pool struct {
	mu        sync.Mutex
	idle      map[string][]*conn
	lastSweep time.Time
}

func newPool() *pool {
	return &pool{idle: map[string][]*conn{}}
}

// get returns a usable idle connection, nil if there is none. It closes the unusable ones that it finds.
func (p *pool) get(addr string, fresh bool, now time.Time) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.maxIdle(fresh) && c.usable() {
			return c
		}
		_ = c.netConn.Close()
	}
}

// pop removes the most recently used connection to an address, nil if there is none.
func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put adds an idle connection. At most once per sweepInterval it closes the connections that have been idle for too long.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.maxIdle(false) {
				kept = append(kept, c)
				continue
			}
			_ = c.netConn.Close()
		}
		clear(list[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	for c := p.pop(addr); c != nil; c = p.pop(addr) {
		_ = c.netConn.Close()
	}
}

// maxIdle returns the idle time up to which the connection may be used.
func (c *conn) maxIdle(fresh bool) time.Duration {
	limit := defaultIdleTimeout
	if c.peerIdleTimeout > 0 {
		limit = max(c.peerIdleTimeout-idleMargin, 0)
	}
	if fresh {
		limit = min(limit, maxFreshIdle)
	}
	return limit
}
