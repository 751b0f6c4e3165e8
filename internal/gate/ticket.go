package gate

import "time"

// Ticket is one call in a Queue.
type Ticket struct {
	// Route names the kind of call; calls of one route take about the same time.
	Route string
	// Priority is the rank of the call, 0 first.
	Priority int
	// Objective is the time by which the answer is worth most.
	Objective time.Time
	// Patience is the time by which the answer must be expected for the call to wait.
	Patience time.Time
	// Deadline is the time after which the answer is worth nothing.
	Deadline time.Time

	arrived uint64
	// turn gets the queue's verdict on a call that waits.
	turn chan Verdict
}

// Verdict is a queue's decision on a call.
type Verdict struct {
	Action Action
	// RetryAfter is the time after which a refused call would have been let in.
	RetryAfter time.Duration
}

// Action is what is to be done with a call.
type Action int

// The actions.
const (
	// Run lets the call go to the backend server now; Queue.Done must follow.
	Run Action = iota
	// Wait keeps the call until a verdict comes on its channel.
	Wait
	// Refuse turns the call away.
	Refuse
)
