package control

import (
	"context"
	"sync"
)

// batcher batches the calls of an operation, such as a linearizable read. All calls that arrive while it runs share the next run, so
// that many nodes that restart or leave at once cost one run at a time.
type batcher struct {
	// operation has taken effect for all calls before its own.
	operation func() error

	mu sync.Mutex
	// running is true while run is active.
	running bool
	// next is the batch that new calls join, nil if it is empty.
	next *batch
}

// batch is the set of calls that share one run, which begins after the last of them has joined.
type batch struct {
	done chan struct{}
	err  error
}

func newBatcher(operation func() error) *batcher {
	return &batcher{operation: operation}
}

// Wait waits for a run that begins after the call of Wait, and returns its error.
func (b *batcher) Wait(ctx context.Context) error {
	joined := b.join()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-joined.done:
		return joined.err
	}
}

// join returns the batch of the next run and makes sure that run is active.
func (b *batcher) join() *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &batch{done: make(chan struct{})}
	}
	if !b.running {
		b.running = true
		go b.run()
	}
	return b.next
}

// run runs the operation again and again until no call waits.
func (b *batcher) run() {
	for {
		taken := b.takeBatch()
		if taken == nil {
			return
		}
		taken.err = b.operation()
		close(taken.done)
	}
}

// takeBatch returns the next batch and closes it for further calls. If it is empty, takeBatch returns nil and run ends.
func (b *batcher) takeBatch() *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.next
	b.next = nil
	if taken == nil {
		b.running = false
	}
	return taken
}
