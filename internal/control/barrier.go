package control

import (
	"context"
	"sync"
)

// barrier shares read barriers: all callers that come while one is under way wait for the next one together, so that
// a herd of restarted nodes costs the control group one read at a time.
type barrier struct {
	read func(ctx context.Context) error

	mu      sync.Mutex
	running bool
	next    *barrierRound
}

// barrierRound is one read that begins after all its callers came.
type barrierRound struct {
	done chan struct{}
	err  error
}

func newBarrier(read func(ctx context.Context) error) *barrier {
	return &barrier{read: read}
}

// Wait returns when a read that began after the call has ended, with its error.
func (b *barrier) Wait(ctx context.Context) error {
	round := b.join()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-round.done:
		return round.err
	}
}

func (b *barrier) join() *barrierRound {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &barrierRound{done: make(chan struct{})}
	}
	if !b.running {
		b.running = true
		go b.run()
	}
	return b.next
}

// run makes one read after the other while there are callers.
func (b *barrier) run() {
	for {
		round := b.begin()
		if round == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readBarrierTimeout)
		round.err = b.read(ctx)
		cancel()
		close(round.done)
	}
}

func (b *barrier) begin() *barrierRound {
	b.mu.Lock()
	defer b.mu.Unlock()
	round := b.next
	b.next = nil
	if round == nil {
		b.running = false
	}
	return round
}
