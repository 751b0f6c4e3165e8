package proxy

import (
	"net/http"
	"strconv"
)

// Headers that callers and backend servers see.
const (
	HeaderOutcome        = "Samphireflow-Outcome"
	HeaderDeadline       = "Samphireflow-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderShed           = "Samphireflow-Shed"
	HeaderLoad           = "Samphireflow-Load"
	HeaderInstance       = "Samphireflow-Instance"
	HeaderVersion        = "Samphireflow-Version"
)

// Outcome says what is known about the execution of a request.
type Outcome string

// The outcomes that an answer carries.
const (
	// OutcomeNotRun means that the request has certainly not been run and will not be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDone means that a backend server ran the request and this is its whole answer.
	OutcomeDone Outcome = "done"
)

// refusal is an answer that the system itself makes.
type refusal struct {
	status  int
	outcome Outcome
	message string
}

func (r *refusal) write(w http.ResponseWriter) {
	body := r.message + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(HeaderOutcome, string(r.outcome))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body))
}

func notRun(status int, message string) *refusal {
	return &refusal{status: status, outcome: OutcomeNotRun, message: message}
}

func unknown(status int, message string) *refusal {
	return &refusal{status: status, outcome: OutcomeUnknown, message: message}
}
