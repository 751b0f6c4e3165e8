package distribution

import (
	"math/rand/v2"
	"sync"
)

// primary is the index of the control instance that a relay follows. The relay fails over to the next one when requests
// to it fail. It is safe for concurrent use.
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

// failOver selects the control instance after the failed one, unless another goroutine has already done so.
func (p *primary) failOver(failed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == failed && p.count > 0 {
		p.current = (failed + 1) % p.count
	}
}
