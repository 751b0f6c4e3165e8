package exchange

import (
	"bytes"
	"net/http"

	"samphireflow/internal/hop"
)

// packing is the state of a connection whose header fields are packed.
type packing struct {
	packer   *hop.Packer
	unpacker *hop.Unpacker
}

func newPacking() *packing {
	return &packing{hop.NewPacker(), hop.NewUnpacker()}
}

// pack writes the request line and the packed header fields. The target and the host are among them.
func (p *packing) pack(b *bytes.Buffer, request *Request) {
	packed := p.packer.Pack(hop.Fields{Target: request.Target, Host: request.Host, Header: request.Header})
	b.WriteString(request.Method + " / HTTP/1.1\r\nHost:\r\n" + hop.Field + ": " + packed + "\r\n")
}

// unpack puts the header fields of an answer back.
func (p *packing) unpack(response *http.Response) error {
	fields, err := p.unpacker.Unpack(response.Header.Get(hop.Field))
	if err != nil {
		return err
	}
	response.Header = fields.Header
	return nil
}
