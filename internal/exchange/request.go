package exchange

import (
	"io"
	"net/http"
)

// Request is one request to one address.
type Request struct {
	Method string
	// Target is the request target as it stands in the request line.
	Target string
	Host   string
	// Header holds the end-to-end header fields. Length and framing are set by the exchange.
	Header http.Header
	// Body is the whole body; it is used when Stream is nil.
	Body []byte
	// Stream is a body that is too long to hold, of StreamLength bytes, -1 for an unknown length.
	Stream       io.Reader
	StreamLength int64
	// HasBody tells an empty body from none, for methods where that matters.
	HasBody bool
	// EchoHeader names the header field that the answer must repeat from the request; empty for none.
	EchoHeader string
	// FreshConn wants a connection that was in use a short time ago or a new one, for a request that must not run twice:
	// one that was idle for long may have been closed by the other side, which shows only once a request is sent.
	FreshConn bool
}
