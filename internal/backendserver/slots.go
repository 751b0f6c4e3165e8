package backendserver

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errShed is returned for a call when all slots are occupied and the queue is full.
var errShed = errors.New("no slot and no place in the queue")

// slots bounds the calls that run at the same time and the calls that wait for a slot.
type slots struct {
	// semaphore holds one element for each running call; its capacity is the number of slots.
	semaphore chan struct{}
	// maxAdmitted is the number of slots plus the length of the queue.
	maxAdmitted int64
	// admitted counts the calls that run or wait.
	admitted atomic.Int64
	running  atomic.Int64
}

func newSlots(count, queue int) *slots {
	return &slots{semaphore: make(chan struct{}, count), maxAdmitted: int64(count + queue)}
}

// acquire waits for a slot. It returns errShed if the queue is full, and the error of the context if the context ends
// first.
func (s *slots) acquire(ctx context.Context) error {
	if s.admitted.Add(1) > s.maxAdmitted {
		s.admitted.Add(-1)
		return errShed
	}
	select {
	case s.semaphore <- struct{}{}:
		s.running.Add(1)
		return nil
	case <-ctx.Done():
		s.admitted.Add(-1)
		return ctx.Err()
	}
}

// release frees an acquired slot.
func (s *slots) release() {
	s.running.Add(-1)
	<-s.semaphore
	s.admitted.Add(-1)
}

// inFlight returns the number of calls that run or wait.
func (s *slots) inFlight() int {
	return int(s.admitted.Load())
}
