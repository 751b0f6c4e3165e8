package distribution

import (
	"math/rand/v2"
	"sync"
)

// primary is the control instance that a relay follows; another one is taken when it fails.
type primary struct {
	count int

	mu      sync.Mutex
	current int
}

func newPrimary(count int) *primary {
	p := &primary{count: count}
	if count > 0 {
		p.current = rand.IntN(count)
	}
	return p
}

func (p *primary) get() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// fail goes on to the next one, unless another goroutine did so already.
func (p *primary) fail(failed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == failed && p.count > 0 {
		p.current = (failed + 1) % p.count
	}
}
