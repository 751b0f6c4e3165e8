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
	// Pressure is the pressure on the backend server that the gate reports with the result of an inner call: the share of
	// its slots that calls which go first, or keep a part of the slots, occupy or wait for. It is 0 if it is not reported.
	Pressure float64
	// RetryAfter is the time after which a refused call would be admitted.
	RetryAfter time.Duration
	// Latency is the time of the exchange with the backend server, without waiting and forwarding between nodes.
	Latency time.Duration
}
