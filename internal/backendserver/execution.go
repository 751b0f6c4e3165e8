package backendserver

import "time"

// Execution is one run of a request. Ended stays nil when a crash interrupted the run.
type Execution struct {
	// ID identifies the execution within one instance.
	ID         uint64     `json:"id"`
	Key        string     `json:"key"`
	Path       string     `json:"path"`
	BodyDigest string     `json:"body_digest"`
	Started    time.Time  `json:"started"`
	Ended      *time.Time `json:"ended"`
	Version    string     `json:"version"`
	Method     string     `json:"method"`
	// Result is empty as long as Ended is nil.
	Result Result `json:"result,omitempty"`
}

// Result is the result of an execution.
type Result string

// The results of executions.
const (
	ResultOK        Result = "ok"
	ResultError     Result = "error"
	ResultCancelled Result = "cancelled"
)
