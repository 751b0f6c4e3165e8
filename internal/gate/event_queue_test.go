package gate

import (
	"container/heap"
	"time"
)

// eventQueue runs functions in the order of their times.
type eventQueue struct {
	now    time.Time
	events events
}

type event struct {
	at time.Time
	do func()
}

// after runs a function after a time.
func (q *eventQueue) after(d time.Duration, do func()) {
	heap.Push(&q.events, event{q.now.Add(d), do})
}

// runUntil runs the functions that are due until a time.
func (q *eventQueue) runUntil(end time.Time) {
	for len(q.events) > 0 && q.events[0].at.Before(end) {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		next.do()
	}
}

// events implements heap.Interface.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}
