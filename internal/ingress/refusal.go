package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// refusal is a response of the node itself to a call that no backend server answered.
type refusal struct {
	status     int
	message    string
	retryAfter time.Duration
}

// notRun refuses a call that certainly has not run.
func notRun(message string, retryAfter time.Duration) *refusal {
	return &refusal{http.StatusServiceUnavailable, message, retryAfter}
}

// unknown responds to a call that may have run.
func unknown(message string) *refusal {
	return &refusal{status: http.StatusBadGateway, message: message}
}

// expired responds to a call whose deadline has passed; it may have run.
func expired() *refusal {
	return &refusal{status: http.StatusGatewayTimeout, message: "the deadline passed before the answer came"}
}

// write sends the refusal to the caller. Retry-After has fractions of a second, because whole seconds are too coarse.
func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(r.message)+1))
	w.WriteHeader(r.status)
	// A failed write means that the caller closed its connection.
	_, _ = w.Write([]byte(r.message + "\n"))
}
