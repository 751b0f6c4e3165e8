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
	// HeaderCaller names the caller for fair shares; without it the address of the caller's connection counts.
	HeaderCaller = "Samphireflow-Caller"
	// HeaderDepth counts the calls above this one. A backend server passes on what it received.
	HeaderDepth = "Samphireflow-Depth"
	// HeaderCall is unique for each attempt. A backend server that sets it on its answer must repeat the request's.
	HeaderCall = "Samphireflow-Call"
	// HeaderRepeated is set to "1" on the stored answer of an earlier send.
	HeaderRepeated = "Samphireflow-Repeated"
	// HeaderDraining is set to "1" on a refusal of a node whose backend server leaves.
	HeaderDraining = "Samphireflow-Draining"
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
	// draining tells another node that the backend server leaves.
	draining bool
	// shed tells another node that there is no room.
	shed bool
}

func (r *refusal) write(w http.ResponseWriter) {
	body := r.message + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(HeaderOutcome, string(r.outcome))
	if r.draining {
		w.Header().Set(HeaderDraining, "1")
	}
	if r.shed {
		w.Header().Set(HeaderShed, "1")
	}
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body))
}

func notRun(status int, message string) *refusal {
	return &refusal{status: status, outcome: OutcomeNotRun, message: message}
}

func unknown(status int, message string) *refusal {
	return &refusal{status: status, outcome: OutcomeUnknown, message: message}
}
