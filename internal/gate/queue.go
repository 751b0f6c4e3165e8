package gate

import (
	"time"
)

const (
	// maxWaiting bounds the calls that wait at a gate, whatever their patience.
	maxWaiting = 512
	// overrun is the factor by which the expected time may exceed the patience of a call that waits already, so that
	// small changes of the estimate turn nobody away.
	overrun = 1.25
	// leastRetry is the shortest time after which a refused caller is asked to come back.
	leastRetry = 20 * time.Millisecond
)

// Queue decides which calls run at a backend server, which wait and which are turned away. It is pure: the time is
// passed in, and it belongs to one goroutine or is guarded by its owner.
//
// Load pattern: at overload more calls come than the slots can serve. A call that cannot be answered in time is refused
// at once, while its caller can still go elsewhere, and calls that can still meet their objective go before those that
// cannot, by priority and then by objective, so that the slots are spent on answers that are worth most.
//
// Invariant: running never exceeds slots, and a call waits only while no slot is free.
type Queue struct {
	slots   int
	running int
	waiting []*Ticket
	arrived uint64
	times   *Times
}

// NewQueue returns an empty queue for a number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: max(slots, 1), times: NewTimes()}
}

// Running returns the number of calls at the backend server.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of calls that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Offer decides on a call that comes.
func (q *Queue) Offer(t *Ticket, now time.Time) Verdict {
	q.arrived++
	t.arrived = q.arrived
	if q.running < q.slots {
		q.running++
		return Verdict{Action: Run}
	}
	if q.late(t, now) && q.onTimeWaiting(now) {
		return Verdict{Action: Refuse, RetryAfter: max(q.waitBehind(len(q.waiting)), leastRetry)}
	}
	wait := q.waitBehind(q.ahead(t, now))
	finish := now.Add(wait + q.times.Of(t.Route))
	if finish.After(t.Patience) || len(q.waiting) >= maxWaiting {
		return Verdict{Action: Refuse, RetryAfter: max(finish.Sub(t.Patience), leastRetry)}
	}
	t.turn = make(chan Verdict, 1)
	q.waiting = append(q.waiting, t)
	q.turnAway(now)
	return Verdict{Action: Wait}
}

// Leave takes a call out that waits no longer. It reports whether the call was waiting: otherwise a verdict is on its
// channel.
func (q *Queue) Leave(t *Ticket) bool {
	for i, waiting := range q.waiting {
		if waiting == t {
			q.remove(i)
			return true
		}
	}
	return false
}

// Done ends a call that ran. A time of 0 tells nothing about the calls of the route.
func (q *Queue) Done(route string, took time.Duration, now time.Time) {
	q.running--
	if took > 0 {
		q.times.Note(route, took)
	}
	for q.running < q.slots && len(q.waiting) > 0 {
		t := q.take(now)
		if now.Add(q.times.Of(t.Route)).After(t.Deadline) {
			t.turn <- Verdict{Action: Refuse, RetryAfter: leastRetry}
			continue
		}
		q.running++
		t.turn <- Verdict{Action: Run}
	}
}

// take removes the call that goes first.
func (q *Queue) take(now time.Time) *Ticket {
	first := 0
	for i := range q.waiting {
		if q.before(q.waiting[i], q.waiting[first], now) {
			first = i
		}
	}
	t := q.waiting[first]
	q.remove(first)
	return t
}

func (q *Queue) remove(i int) {
	last := len(q.waiting) - 1
	q.waiting[i] = q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
}

// before orders two calls: first those that can meet their objective, then by priority, by objective and by arrival.
func (q *Queue) before(a, b *Ticket, now time.Time) bool {
	aLate, bLate := q.late(a, now), q.late(b, now)
	switch {
	case aLate != bLate:
		return bLate
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case !a.Objective.Equal(b.Objective):
		return a.Objective.Before(b.Objective)
	}
	return a.arrived < b.arrived
}

// late reports whether a call would miss its objective even if it ran at once.
func (q *Queue) late(t *Ticket, now time.Time) bool {
	return now.Add(q.times.Of(t.Route)).After(t.Objective)
}

// onTimeWaiting reports whether a call waits that can still meet its objective. While there is one, a slot spent on a late
// call makes another one late.
func (q *Queue) onTimeWaiting(now time.Time) bool {
	for _, waiting := range q.waiting {
		if !q.late(waiting, now) {
			return true
		}
	}
	return false
}

// ahead counts the waiting calls that go before one.
func (q *Queue) ahead(t *Ticket, now time.Time) int {
	count := 0
	for _, waiting := range q.waiting {
		if waiting != t && q.before(waiting, t, now) {
			count++
		}
	}
	return count
}

// waitBehind estimates the time until a slot is free for the call behind a number of others: the slots free up one after
// the other, each on average once in a call's time.
func (q *Queue) waitBehind(ahead int) time.Duration {
	return time.Duration(float64(ahead+1) * float64(q.times.Mean()) / float64(q.slots))
}

// turnAway refuses the waiting calls whose answers have come to be expected too late, because others went before them.
func (q *Queue) turnAway(now time.Time) {
	for i := len(q.waiting) - 1; i >= 0; i-- {
		t := q.waiting[i]
		finish := q.waitBehind(q.ahead(t, now)) + q.times.Of(t.Route)
		if float64(finish) > overrun*float64(t.Patience.Sub(now)) {
			q.remove(i)
			t.turn <- Verdict{Action: Refuse, RetryAfter: max(finish-t.Patience.Sub(now), leastRetry)}
		}
	}
}
