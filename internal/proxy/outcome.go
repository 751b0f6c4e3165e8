package proxy

import (
	"net/http"
	"strconv"
)

// Headers in requests from callers or to backend servers, and in their responses.
const (
	HeaderOutcome        = "Samphireflow-Outcome"
	HeaderDeadline       = "Samphireflow-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderShed           = "Samphireflow-Shed"
	HeaderLoad           = "Samphireflow-Load"
	HeaderInstance       = "Samphireflow-Instance"
	HeaderVersion        = "Samphireflow-Version"
	// HeaderCaller is the name under which the caller's share of queues is counted; the default is the IP address of its
	// connection.
	HeaderCaller = "Samphireflow-Caller"
	// HeaderDepth is the number of calls that led to this one. A backend server copies it from the request that it serves
	// into the calls that it makes.
	HeaderDepth = "Samphireflow-Depth"
	// HeaderCall is a unique ID of the attempt. A backend server that sets it in its response must copy it from the
	// request.
	HeaderCall = "Samphireflow-Call"
	// HeaderRepeated is "1" if the response was stored when the same request ran earlier.
	HeaderRepeated = "Samphireflow-Repeated"
	// HeaderDraining is "1" in the refusal of a gate whose backend server is draining or missing.
	HeaderDraining = "Samphireflow-Draining"
)

// Outcome says whether a request has been run.
type Outcome string

// The values of HeaderOutcome.
const (
	// OutcomeNotRun means that the request has certainly not been run and will not be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDone means that a backend server ran the request and that this is its whole response.
	OutcomeDone Outcome = "done"
)

// refusal is a response that the proxy or a gate makes itself instead of forwarding one.
type refusal struct {
	status  int
	outcome Outcome
	message string
	// draining tells the calling node that the backend server is draining or missing.
	draining bool
	// shed tells the calling node that the backend server has no free slot.
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

func notRunRefusal(status int, message string) *refusal {
	return &refusal{status: status, outcome: OutcomeNotRun, message: message}
}

func unknownRefusal(status int, message string) *refusal {
	return &refusal{status: status, outcome: OutcomeUnknown, message: message}
}
