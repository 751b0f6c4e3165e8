package exchange

import (
	"io"
	"net/http"
)

// Request is an HTTP request.
type Request struct {
	Method string
	// Target is the request target of the request line.
	Target string
	Host   string
	// Header holds the end-to-end header fields. The client adds those of length and framing.
	Header http.Header
	// Body is the whole body. It is used if Stream is nil.
	Body []byte
	// Stream is a body that is too long to buffer. It has StreamLength bytes, or -1 if the length is not known.
	Stream       io.Reader
	StreamLength int64
	// HasBody distinguishes an empty body from no body, for methods where that matters.
	HasBody bool
	// EchoHeader names the header field that the response must repeat from the request. It is empty if there is none.
	EchoHeader string
	// FreshConn requires a connection that is new or was used a short time ago. It is set for a request that must not run
	// twice: the server may have closed a connection that was idle for long, which shows only after a request was sent.
	FreshConn bool
	// NewConn requires a connection on which nothing has been sent. It is set for a request that its ID does not tell from an
	// earlier one.
	NewConn bool
	// HoldBody is asked whether a response body of the given length, which is above maxBufferedBody, is buffered all the same.
	// It is nil if none is.
	HoldBody func(length int64) bool
	// Reserve is asked for memory before bodies are buffered. After an error they are passed on in small pieces. It is nil if there
	// is always memory.
	Reserve func(bytes int64) error
}
