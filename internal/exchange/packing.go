package exchange

import (
	"bytes"
	"net/http"

	"samphireflow/internal/hop"
)

// packing is the state of a connection whose header fields are packed.
type packing struct {
	packer   *hop.Encoder
	unpacker *hop.Decoder
}

func newPacking() *packing {
	return &packing{hop.NewEncoder(), hop.NewDecoder()}
}

// pack writes the request line and the packed header fields. The target and the host are among them.
func (p *packing) pack(b *bytes.Buffer, request *Request) {
	packed := p.packer.Encode(hop.Fields{Target: request.Target, Host: request.Host, Header: request.Header})
	b.WriteString(request.Method + " / HTTP/1.1\r\nHost:\r\n" + hop.HeaderName + ": " + packed + "\r\n")
}

// unpack puts the header fields of an answer back.
func (p *packing) unpack(response *http.Response) error {
	fields, err := p.unpacker.Decode(response.Header.Get(hop.HeaderName))
	if err != nil {
		return err
	}
	response.Header = fields.Header
	return nil
}
