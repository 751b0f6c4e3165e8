package calls

import (
	"io"
	"net/http"
	"time"

	"samphireflow/internal/exchange"
)

// Call is one call of a caller on its way to a backend server.
type Call struct {
	// ID is the caller's name for this attempt; it goes with the call to the backend server and into the logs.
	ID string
	// Route names the route for measurements.
	Route  string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	// Header holds the end-to-end header fields.
	Header http.Header
	// Body is the whole body, unless Stream is set: then it is one of StreamLength bytes, -1 for an unknown length,
	// that can be sent only once.
	Body         []byte
	HasBody      bool
	Stream       io.Reader
	StreamLength int64
	// Idempotent says that the call may run more than once.
	Idempotent bool
	// Priority is the rank of the call, 0 first.
	Priority int
	// Objective is the time by which the answer is worth most, Deadline the time after which it is worth nothing.
	Objective time.Time
	Deadline  time.Time
}

// Request returns the request that carries the call one hop further with the given header fields. The answer must repeat
// the field that echo names.
func (c *Call) Request(header http.Header, echo string) *exchange.Request {
	return &exchange.Request{
		Method:       c.Method,
		Target:       c.Target,
		Host:         c.Host,
		Header:       header,
		Body:         c.Body,
		HasBody:      c.HasBody,
		Stream:       c.Stream,
		StreamLength: c.StreamLength,
		EchoHeader:   echo,
		Fresh:        !c.Idempotent,
	}
}

// Resendable reports whether the call could be sent again.
func (c *Call) Resendable() bool {
	return c.Stream == nil
}
