package calls

import (
	"time"

	"samphireflow/internal/exchange"
)

// Result is what came of handing a call to one backend server.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Detail is for logs.
	Detail string
	// Response is set when the fate is Answered.
	Response *exchange.Response
	// Load is the load of the gate, nil when it was not heard.
	Load *Load
	// RetryAfter is the time after which a refused call would find room.
	RetryAfter time.Duration
	// Latency is the time of the exchange with the backend server alone.
	Latency time.Duration
}
