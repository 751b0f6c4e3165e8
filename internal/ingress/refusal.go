package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// refusal is an answer of the system's own.
type refusal struct {
	status     int
	message    string
	retryAfter time.Duration
}

func notRun(message string, retryAfter time.Duration) *refusal {
	return &refusal{http.StatusServiceUnavailable, message, retryAfter}
}

func unknown(message string) *refusal {
	return &refusal{status: http.StatusBadGateway, message: message}
}

func expired() *refusal {
	return &refusal{status: http.StatusGatewayTimeout, message: "the deadline passed before the answer came"}
}

// write answers a caller. Retry-After is given in seconds with fractions where whole seconds are too coarse.
func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(r.message)+1))
	w.WriteHeader(r.status)
	// The caller may be gone by now.
	_, _ = w.Write([]byte(r.message + "\n"))
}
