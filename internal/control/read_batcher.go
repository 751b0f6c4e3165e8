package control

import (
	"context"
	"sync"
)

// readBatcher batches linearizable reads. All calls that arrive while a read is in flight share the next one, so that
// many nodes that restart at once cost the control group only one read at a time.
type readBatcher struct {
	// read waits until the local state has everything that was accepted before the call.
	read func(ctx context.Context) error

	mu sync.Mutex
	// running is true while run is active.
	running bool
	// next is the batch that new calls join, nil if it is empty.
	next *readBatch
}

// readBatch is the set of calls that share one read, which begins after the last of them has joined.
type readBatch struct {
	done chan struct{}
	err  error
}

func newReadBatcher(read func(ctx context.Context) error) *readBatcher {
	return &readBatcher{read: read}
}

// Wait waits for a read that begins after the call of Wait, and returns its error.
func (b *readBatcher) Wait(ctx context.Context) error {
	batch := b.join()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-batch.done:
		return batch.err
	}
}

// join returns the batch of the next read and makes sure that run is active.
func (b *readBatcher) join() *readBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &readBatch{done: make(chan struct{})}
	}
	if !b.running {
		b.running = true
		go b.run()
	}
	return b.next
}

// run makes one read after the other until no call waits.
func (b *readBatcher) run() {
	for {
		batch := b.takeBatch()
		if batch == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), linearizableReadTimeout)
		batch.err = b.read(ctx)
		cancel()
		close(batch.done)
	}
}

// takeBatch returns the next batch and closes it for further calls. If it is empty, takeBatch returns nil and run ends.
func (b *readBatcher) takeBatch() *readBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.next
	b.next = nil
	if batch == nil {
		b.running = false
	}
	return batch
}
