package calls

import (
	"time"

	"samphireflow/internal/exchange"
)

// Result is the result of sending a call to one backend server.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Detail is for logs.
	Detail string
	// Response is set if the outcome is Answered.
	Response *exchange.Response
	// Load is the load of the backend server, nil if the gate did not report it.
	Load *Load
	// RetryAfter is the time after which a refused call would be admitted.
	RetryAfter time.Duration
	// Latency is the time of the exchange with the backend server, without waiting and forwarding between nodes.
	Latency time.Duration
}
