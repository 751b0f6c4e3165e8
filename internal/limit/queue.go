package limit

import (
	"sync"

	"github.com/pkg/errors"
)

// Errors of Join. The call that gets one has not been sent.
var (
	// ErrQueueFull means that the queue holds as many calls as it may.
	ErrQueueFull = errors.New("the queue is full")
	// ErrCallerShare means that one caller holds its share of the queue.
	ErrCallerShare = errors.New("the caller's share of the queue is used up")
)

// Queue holds the calls that wait for room at a backend server, first come first served. It is safe for use by many
// goroutines.
type Queue struct {
	mu       sync.Mutex
	waiting  []*Waiter
	byCaller map[string]int
}

// Waiter is one call's place in a queue.
type Waiter struct {
	queue  *Queue
	caller string
	turn   chan struct{}
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byCaller: map[string]int{}}
}

// Enqueue takes a place at the end. Length bounds the queue, share the part of it that one caller may hold (at least one
// place). The caller must try once more for room after joining, if it is First, and then wait for Turn.
func (q *Queue) Enqueue(caller string, length int, share float64) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= length {
		return nil, ErrQueueFull
	}
	if held := q.byCaller[caller]; held > 0 && float64(held+1) > share*float64(length) {
		return nil, ErrCallerShare
	}
	ticket := &Waiter{queue: q, caller: caller, turn: make(chan struct{}, 1)}
	q.waiting = append(q.waiting, ticket)
	q.byCaller[caller]++
	return ticket, nil
}

// Wakeup tells that there may be room and that the ticket is the first.
func (t *Waiter) Wakeup() <-chan struct{} {
	return t.turn
}

// IsFirst reports whether no call waits before this one.
func (t *Waiter) IsFirst() bool {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	return len(t.queue.waiting) > 0 && t.queue.waiting[0] == t
}

// Remove gives the place up, with room found or not, and wakes the next.
func (q *Queue) Remove(ticket *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, waiting := range q.waiting {
		if waiting == ticket {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	if q.byCaller[ticket.caller]--; q.byCaller[ticket.caller] <= 0 {
		delete(q.byCaller, ticket.caller)
	}
	q.wakeFirst()
}

// Wake tells the first in the queue that there may be room.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

func (q *Queue) wakeFirst() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0].turn <- struct{}{}:
	default:
	}
}

// Len returns the number of calls that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Empty reports whether no call waits.
func (q *Queue) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}
