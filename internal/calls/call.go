package calls

import (
	"io"
	"net/http"
	"time"

	"samphireflow/internal/exchange"
	"samphireflow/internal/resources"
)

// Call is one call of a caller to a backend server.
type Call struct {
	// ID is the caller's request ID of this attempt; it is sent to the backend server and logged.
	ID string
	// Route is the name of the route, by which calls are measured.
	Route  string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	// Header holds the end-to-end header fields.
	Header http.Header
	// Body is the whole body, unless Stream is set: then the body is read from Stream, can be sent only once, and has
	// StreamLength bytes, or -1 if the length is not known.
	Body         []byte
	HasBody      bool
	Stream       io.Reader
	StreamLength int64
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	// Repeated is set while the call is sent again after an attempt that reached a backend server or may have.
	Repeated bool
	// Inner is set if a run in flight has made the call. Without its response that run fails.
	Inner bool
	// Customer is the name of the customer whose key the caller presented, empty for a call without one.
	Customer string
	// LongResponse is set if the response is so long that the link of an instance limits such calls.
	LongResponse bool
	// HoldBody is that of the request to the backend server.
	HoldBody func(length int64) bool
	// Memory is what the call holds of the account of its connection.
	Memory *resources.Memory
	// Priority is the priority of the call; 0 is the highest.
	Priority int
	// Objective is the time by which the response should arrive: the start of the call plus the route's latency objective.
	// Deadline is the time after which the response is useless.
	Objective time.Time
	Deadline  time.Time
}

// Request returns the request that forwards the call with the given header fields. The response must repeat the header
// field that echo names.
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
		FreshConn:    !c.Idempotent,
		HoldBody:     c.HoldBody,
		Reserve:      c.Memory.AddBuffer,
	}
}

// Resendable reports whether the body of the call can be sent again.
func (c *Call) Resendable() bool {
	return c.Stream == nil
}
