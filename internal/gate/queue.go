package gate

import (
	"slices"
	"time"
)

const (
	// maxWaiting limits the number of calls that wait at a gate, whatever their FinishBy.
	maxWaiting = 512
	// evictionFactor is the factor by which a waiting call's expected time to completion may exceed the time left until
	// its FinishBy. The margin keeps small changes of the estimate from evicting calls.
	evictionFactor = 1.25
	// outerShare is the part of the slots that inner calls leave to the calls of callers while those wait, so that no route
	// starves. A run that is admitted needs its inner calls, so they may take most of the slots.
	outerShare = 0.125
	// minRetryAfter is the shortest time after which a refused caller is asked to retry.
	minRetryAfter = 20 * time.Millisecond
)

// Queue decides which calls run at a backend server, which wait and which are refused. It reads no clock, as the time is
// passed in, and it is not safe for concurrent use.
//
// Load pattern: at overload more calls arrive than the slots can serve. A call that is not expected to finish in time is
// refused immediately, while its caller can still try another backend server. Calls that can still meet their objective
// run before those that cannot, then by priority and by objective, so that the slots serve the most valuable calls.
//
// Inner calls go first, because a refused one wastes the run that made it, at another backend server. They may wait up to
// their FinishBy, also if late. While other calls wait, those keep a part of the slots (outerShare).
//
// Invariant: running never exceeds slots, and a call waits only while no slot is free.
type Queue struct {
	slots   int
	running int
	// runningInner is the number of inner calls among those in flight.
	runningInner int
	waiting      []*Entry
	lastSequence uint64
	latencies    *LatencyMeans
	customers    *CustomerShares
}

// NewQueue returns an empty queue with the given number of slots, at least one.
func NewQueue(slots int) *Queue {
	return &Queue{slots: max(slots, 1), latencies: NewLatencyMeans(), customers: NewCustomerShares()}
}

// Running returns the number of calls in flight at the backend server.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of calls that wait for a slot.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Admit decides on a new call: it runs if a slot is free, waits if fewer than maxWaiting calls wait and it is expected to
// finish by its FinishBy, and is refused otherwise. Without a free slot, a call that is expected to miss its objective is
// also refused while a call that can still meet its objective waits, and a call of a customer that is over its share while one
// of another customer of the same or a higher priority waits that is not. A
// free slot is refused if passesOn says so.
func (q *Queue) Admit(e *Entry, now time.Time) Decision {
	q.lastSequence++
	e.sequence = q.lastSequence
	if q.running < q.slots {
		if q.passesOn(e, now) {
			return Decision{Action: Refuse, Slow: true, RetryAfter: minRetryAfter}
		}
		q.start(e, now)
		return Decision{Action: Run}
	}
	if e.Customer != "" {
		e.overShare = q.customers.Excess(e.Customer, now) > 0
	}
	if e.overShare && q.hasWaiterWithinShare(e.Priority) {
		return Decision{Action: Refuse, OverShare: true, RetryAfter: max(q.customers.TimeToShare(e.Customer, now), minRetryAfter)}
	}
	if !e.Inner && q.missesObjective(e, now) && q.hasTimelyWaiter(now) {
		return Decision{Action: Refuse, RetryAfter: max(q.expectedWait(len(q.waiting), now), minRetryAfter)}
	}
	wait := q.expectedWait(q.countAhead(e, now), now)
	finish := now.Add(wait + q.latencies.Expected(e.Route, now))
	if finish.After(e.FinishBy) || len(q.waiting) >= maxWaiting {
		return Decision{Action: Refuse, RetryAfter: max(finish.Sub(e.FinishBy), minRetryAfter)}
	}
	e.decision = make(chan Decision, 1)
	q.waiting = append(q.waiting, e)
	q.evictOverdue(now)
	return Decision{Action: Wait}
}

// Cancel removes a waiting call. It reports whether the call was still waiting; if not, a decision is on its channel.
func (q *Queue) Cancel(e *Entry) bool {
	for i, waiting := range q.waiting {
		if waiting == e {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Release frees the slot of a call that ran and gives free slots to waiting calls. A latency of 0 is not counted in the
// means. A waiting call that can no longer finish by its deadline is refused.
func (q *Queue) Release(route string, latency time.Duration, now time.Time) {
	q.running--
	if latency > 0 {
		q.latencies.Observe(route, latency)
	}
	for q.running < q.slots && len(q.waiting) > 0 {
		e := q.popFirst(now)
		if now.Add(q.latencies.Expected(e.Route, now)).After(e.Deadline) {
			e.decision <- Decision{Action: Refuse, RetryAfter: minRetryAfter}
			continue
		}
		q.start(e, now)
		e.decision <- Decision{Action: Run}
	}
}

// ReleaseInner is Release for an inner call.
func (q *Queue) ReleaseInner(route string, latency time.Duration, now time.Time) {
	q.runningInner--
	q.Release(route, latency, now)
}

// start occupies a slot with a call.
func (q *Queue) start(e *Entry, now time.Time) {
	q.running++
	if e.Inner {
		q.runningInner++
	}
	q.customers.Charge(e.Customer, e.Weight, q.latencies.Expected(e.Route, now), now)
}

// hasWaiterWithinShare reports whether a call of the given or a higher priority waits whose customer is within its share.
func (q *Queue) hasWaiterWithinShare(priority int) bool {
	return slices.ContainsFunc(q.waiting, func(e *Entry) bool { return !e.overShare && e.Priority <= priority })
}

// popFirst removes and returns the waiting call that runs next.
func (q *Queue) popFirst(now time.Time) *Entry {
	first := 0
	for i := range q.waiting {
		if q.runsBefore(q.waiting[i], q.waiting[first], now) {
			first = i
		}
	}
	e := q.waiting[first]
	q.removeAt(first)
	return e
}

func (q *Queue) removeAt(i int) {
	last := len(q.waiting) - 1
	q.waiting[i] = q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
}

// runsBefore reports whether call a runs before call b. Inner calls come first, unless other calls have less than their part
// of the slots. Then come calls that can meet their objective; then priority, whether the customer is within its share,
// objective and order of arrival decide.
func (q *Queue) runsBefore(a, b *Entry, now time.Time) bool {
	if a.Inner != b.Inner {
		return a.Inner == (q.runningInner < q.slots-q.outerSlots())
	}
	aLate, bLate := q.missesObjective(a, now), q.missesObjective(b, now)
	switch {
	case aLate != bLate:
		return bLate
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.overShare != b.overShare:
		return b.overShare
	case !a.Objective.Equal(b.Objective):
		return a.Objective.Before(b.Objective)
	}
	return a.sequence < b.sequence
}

// outerSlots returns the number of slots that inner calls leave to other calls while those wait.
func (q *Queue) outerSlots() int {
	return max(int(outerShare*float64(q.slots)), 1)
}

// Pressure returns the share of the slots that are not available to further runs of the given priority that call this
// backend server: those of inner calls, in flight and waiting, of waiting calls with a higher priority, and of other calls up
// to their part of the slots. It exceeds 1 if calls wait.
func (q *Queue) Pressure(priority int) float64 {
	occupied := q.runningInner + min(q.running-q.runningInner, q.outerSlots())
	for _, waiting := range q.waiting {
		if waiting.Inner || waiting.Priority < priority {
			occupied++
		}
	}
	return float64(occupied) / float64(q.slots)
}

// missesObjective reports whether a call is expected to miss its objective even if it ran now.
func (q *Queue) missesObjective(e *Entry, now time.Time) bool {
	return now.Add(q.latencies.Expected(e.Route, now)).After(e.Objective)
}

// hasTimelyWaiter reports whether a waiting call can still meet its objective. While there is one, a slot that is given to
// a late call makes a timely call late.
func (q *Queue) hasTimelyWaiter(now time.Time) bool {
	for _, waiting := range q.waiting {
		if !q.missesObjective(waiting, now) {
			return true
		}
	}
	return false
}

// countAhead returns the number of waiting calls that run before the given one.
func (q *Queue) countAhead(e *Entry, now time.Time) int {
	count := 0
	for _, waiting := range q.waiting {
		if waiting != e && q.runsBefore(waiting, e, now) {
			count++
		}
	}
	return count
}

// expectedWait estimates the time until a call with the given number of calls ahead of it gets a slot. Each slot is freed
// on average once per mean latency of all calls.
func (q *Queue) expectedWait(ahead int, now time.Time) time.Duration {
	return time.Duration(float64(ahead+1) * float64(q.latencies.ExpectedOverall(now)) / float64(q.slots))
}

// evictOverdue refuses the waiting calls that are now expected to finish too late because other calls were queued ahead of
// them.
func (q *Queue) evictOverdue(now time.Time) {
	for i := len(q.waiting) - 1; i >= 0; i-- {
		e := q.waiting[i]
		finish := q.expectedWait(q.countAhead(e, now), now) + q.latencies.Expected(e.Route, now)
		if float64(finish) > evictionFactor*float64(e.FinishBy.Sub(now)) {
			q.removeAt(i)
			e.decision <- Decision{Action: Refuse, RetryAfter: max(finish-e.FinishBy.Sub(now), minRetryAfter)}
		}
	}
}
