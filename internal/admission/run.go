package admission

import "time"

// Run is a call that a gate has admitted: it waits for a slot or runs at the backend server beside the gate.
type Run struct {
	id       string
	route    string
	priority int
	began    time.Time
	// begun and inFlight count the inner calls of the run by service. They are nil before the first.
	begun    map[string]int
	inFlight map[string]int
	// lost is set once an inner call has ended without a response.
	lost bool
}

// Priority returns the priority of the call; its inner calls inherit it.
func (r *Run) Priority() int { return r.priority }

// expectedCalls returns the number of inner calls to a service that are in flight or still expected, if runs of the route
// make the given number.
func (r *Run) expectedCalls(service string, need float64) float64 {
	return max(need-float64(r.begun[service]), 0) + float64(r.inFlight[service])
}
