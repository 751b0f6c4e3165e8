package exchange

import (
	"sync"
	"time"
)

const (
	// defaultIdle is the time that an idle connection is kept where the other side does not say how long it keeps it.
	defaultIdle = 8 * time.Second
	// idleMargin is the time before the other side's end of an idle connection at which it is not used any more.
	idleMargin = time.Second
	// freshIdle is the idle time up to which a connection counts as surely alive.
	freshIdle = 5 * time.Second
	// sweepInterval is the time between closings of connections that were idle for too long.
	sweepInterval = 2 * time.Second
)

// pool keeps idle connections by address, the last used one first, so that few stay warm. It is safe for use by many
// goroutines.
type pool struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	swept time.Time
}

func newPool() *pool {
	return &pool{idle: map[string][]*conn{}}
}

// get returns an idle connection that can be used, nil when there is none.
func (p *pool) get(addr string, fresh bool, now time.Time) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.lifetime(fresh) && c.usable() {
			return c
		}
		_ = c.net.Close()
	}
}

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

// put keeps a connection, and now and then closes those that were idle for too long.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	if now.Sub(p.swept) < sweepInterval {
		return
	}
	p.swept = now
	for addr, list := range p.idle {
		kept := list[:0]
		for _, one := range list {
			if now.Sub(one.idleSince) < one.lifetime(false) {
				kept = append(kept, one)
				continue
			}
			_ = one.net.Close()
		}
		clear(list[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// drop closes the idle connections to an address.
func (p *pool) drop(addr string) {
	for c := p.pop(addr); c != nil; c = p.pop(addr) {
		_ = c.net.Close()
	}
}

// lifetime is the idle time up to which a connection may be used.
func (c *conn) lifetime(fresh bool) time.Duration {
	lifetime := defaultIdle
	if c.idleFor > 0 {
		lifetime = max(c.idleFor-idleMargin, 0)
	}
	if fresh {
		lifetime = min(lifetime, freshIdle)
	}
	return lifetime
}
