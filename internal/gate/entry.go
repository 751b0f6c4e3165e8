package gate

import "time"

// Entry is a call as the Queue sees it.
type Entry struct {
	// Route is the route of the call; calls of one route are expected to have similar latencies.
	Route string
	// Customer is the name of the customer that sent the call, empty if there is none.
	Customer string
	// Inner is set for a call of a run in flight; it goes before the calls of callers.
	Inner bool
	// Weight is the weight of the customer when there is no room for the calls of all customers, 0 for the mean weight.
	Weight float64
	// Priority is the priority of the call; 0 is the highest.
	Priority int
	// Objective is the time by which the response should arrive: the start of the call plus the route's latency objective.
	Objective time.Time
	// FinishBy is the time by which the call must be expected to finish, or else it does not wait.
	FinishBy time.Time
	// Deadline is the time after which the response is useless.
	Deadline time.Time

	// overShare is set if the customer had more than its share of the backend server when the call arrived.
	overShare bool
	// sequence numbers the calls in order of arrival.
	sequence uint64
	// decision receives the queue's decision on a waiting call.
	decision chan Decision
}

// Decision is the decision of a Queue on a call.
type Decision struct {
	Action Action
	// RetryAfter is the time after which a refused call would be admitted.
	RetryAfter time.Duration
	// OverShare says that the customer has had more than its share, and that others wait.
	OverShare bool
	// Slow says that a slot was free, but the call is expected to finish earlier elsewhere.
	Slow bool
}

// Action is the action to take on a call.
type Action int

const (
	// Run sends the call to the backend server now; Queue.Release must follow.
	Run Action = iota
	// Wait keeps the call until a decision arrives on its channel.
	Wait
	// Refuse rejects the call.
	Refuse
)
