package backendserver

import "time"

// Execution is one run of a request. A request that was cut off has no end.
type Execution struct {
	// ID tells the executions of one instance apart.
	ID         uint64     `json:"id"`
	Key        string     `json:"key"`
	Path       string     `json:"path"`
	BodyDigest string     `json:"body_digest"`
	Started    time.Time  `json:"started"`
	Ended      *time.Time `json:"ended"`
	Version    string     `json:"version"`
	Method     string     `json:"method"`
	// Result is empty while it runs, then one of the results below.
	Result Result `json:"result,omitempty"`
}

// Result says how an execution ended.
type Result string

// The results of executions.
const (
	ResultOK        Result = "ok"
	ResultError     Result = "error"
	ResultCancelled Result = "cancelled"
)
