package limit

import (
	"sync"

	"github.com/pkg/errors"
)

// Errors of Enqueue. A call that is refused with one of them has not been sent.
var (
	// ErrQueueFull means that as many calls are waiting as the queue may hold.
	ErrQueueFull = errors.New("the queue is full")
	// ErrCallerShare means that the caller already has its share of the queue.
	ErrCallerShare = errors.New("the caller's share of the queue is used up")
)

// Queue holds the calls that wait for a backend server with room, in order of arrival. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	waiting []*Waiter
	// byCaller counts the waiting calls of each caller.
	byCaller map[string]int
}

// Waiter is one queued call.
type Waiter struct {
	queue  *Queue
	caller string
	wakeup chan struct{}
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byCaller: map[string]int{}}
}

// Enqueue adds a call at the end of the queue, which may hold maxLength calls. One caller may have the share callerShare
// of them, but always one call. Room may have become free just before the call was added, so whoever enqueues must check
// for room once if IsFirst reports true, and then wait for Wakeup.
func (q *Queue) Enqueue(caller string, maxLength int, callerShare float64) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxLength {
		return nil, ErrQueueFull
	}
	if queued := q.byCaller[caller]; queued > 0 && float64(queued+1) > callerShare*float64(maxLength) {
		return nil, ErrCallerShare
	}
	waiter := &Waiter{queue: q, caller: caller, wakeup: make(chan struct{}, 1)}
	q.waiting = append(q.waiting, waiter)
	q.byCaller[caller]++
	return waiter, nil
}

// Wakeup receives a value when the waiter is the first in the queue and there may be room.
func (w *Waiter) Wakeup() <-chan struct{} {
	return w.wakeup
}

// IsFirst reports whether the waiter is the first in the queue.
func (w *Waiter) IsFirst() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	return len(w.queue.waiting) > 0 && w.queue.waiting[0] == w
}

// Remove removes a waiter, whether it found room or gave up, and wakes the one that is then the first.
func (q *Queue) Remove(waiter *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == waiter {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	if q.byCaller[waiter.caller]--; q.byCaller[waiter.caller] <= 0 {
		delete(q.byCaller, waiter.caller)
	}
	q.wakeFirst()
}

// Wake wakes the first waiter, because there may be room.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// wakeFirst wakes the first waiter unless a wakeup is already pending for it. The caller holds the lock.
func (q *Queue) wakeFirst() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0].wakeup <- struct{}{}:
	default:
	}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Empty reports whether no call is waiting.
func (q *Queue) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}
