package hop

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// HeaderName is the header field that carries the packed ones.
const HeaderName = "P"

// Names of what is packed beside header fields, as HPACK's static table has them.
const (
	targetField = ":path"
	hostField   = ":authority"
)

// Encoder packs the header fields of the messages that go one way on one connection. Each text builds on those before it:
// the other side must unpack all of them, in order.
type Encoder struct {
	packed  bytes.Buffer
	encoder *hpack.Encoder
}

// NewEncoder returns the packer of a new connection.
func NewEncoder() *Encoder {
	p := &Encoder{}
	p.encoder = hpack.NewEncoder(&p.packed)
	return p
}

// Encode returns the value of Field for a message. An answer has no target and no host.
func (p *Encoder) Encode(fields Fields) string {
	p.packed.Reset()
	if fields.Target != "" {
		p.add(targetField, fields.Target)
	}
	if fields.Host != "" {
		p.add(hostField, fields.Host)
	}
	for name, values := range fields.Header {
		for _, value := range values {
			p.add(strings.ToLower(name), value)
		}
	}
	return escape(p.packed.Bytes())
}

func (p *Encoder) add(name, value string) {
	// A write to a buffer cannot fail.
	_ = p.encoder.WriteField(hpack.HeaderField{Name: name, Value: value})
}

// Fields is what is packed of a message.
type Fields struct {
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
}
