package backendserver

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errShed is returned for a call that finds no slot and no place in the queue.
var errShed = errors.New("no slot and no place in the queue")

// slots bounds the calls that run at the same time and those that wait.
type slots struct {
	free    chan struct{}
	limit   int64
	pending atomic.Int64
	running atomic.Int64
}

func newSlots(count, queue int) *slots {
	return &slots{free: make(chan struct{}, count), limit: int64(count + queue)}
}

// acquire waits for a slot. It returns errShed when the queue is full and the context's error when that ends first.
func (s *slots) acquire(ctx context.Context) error {
	if s.pending.Add(1) > s.limit {
		s.pending.Add(-1)
		return errShed
	}
	select {
	case s.free <- struct{}{}:
		s.running.Add(1)
		return nil
	case <-ctx.Done():
		s.pending.Add(-1)
		return ctx.Err()
	}
}

// release gives back a slot that acquire gave.
func (s *slots) release() {
	s.running.Add(-1)
	<-s.free
	s.pending.Add(-1)
}

// inFlight returns the calls that run or wait.
func (s *slots) inFlight() int {
	return int(s.pending.Load())
}
