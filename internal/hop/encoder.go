package hop

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// HeaderName is the name of the header field that carries the compressed ones.
const HeaderName = "P"

// Names under which the request target and the host are compressed. They are entries of HPACK's static table.
const (
	targetField = ":path"
	hostField   = ":authority"
)

// Encoder compresses the header fields of all messages in one direction of a connection. Each result depends on the
// earlier ones, so the other side must decode all of them in order.
type Encoder struct {
	buffer bytes.Buffer
	hpack  *hpack.Encoder
}

// NewEncoder returns the encoder for a new connection.
func NewEncoder() *Encoder {
	e := &Encoder{}
	e.hpack = hpack.NewEncoder(&e.buffer)
	return e
}

// Encode returns the value of the header field HeaderName for a message. A response has no target and no host.
func (e *Encoder) Encode(fields Fields) string {
	e.buffer.Reset()
	if fields.Target != "" {
		e.add(targetField, fields.Target)
	}
	if fields.Host != "" {
		e.add(hostField, fields.Host)
	}
	for name, values := range fields.Header {
		for _, value := range values {
			e.add(strings.ToLower(name), value)
		}
	}
	return escape(e.buffer.Bytes())
}

func (e *Encoder) add(name, value string) {
	// A write to a buffer cannot fail.
	_ = e.hpack.WriteField(hpack.HeaderField{Name: name, Value: value})
}

// Fields holds the parts of a message that are compressed.
type Fields struct {
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
}
