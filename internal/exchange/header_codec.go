package exchange

import (
	"bytes"
	"net/http"

	"samphireflow/internal/hop"
)

// headerCodec compresses and decompresses the header fields of one connection.
type headerCodec struct {
	encoder *hop.Encoder
	decoder *hop.Decoder
}

func newHeaderCodec() *headerCodec {
	return &headerCodec{hop.NewEncoder(), hop.NewDecoder()}
}

// encode writes the request line and the compressed header fields. Target and host are compressed with them.
func (c *headerCodec) encode(b *bytes.Buffer, request *Request) {
	encoded := c.encoder.Encode(hop.Fields{Target: request.Target, Host: request.Host, Header: request.Header})
	b.WriteString(request.Method + " / HTTP/1.1\r\nHost:\r\n" + hop.HeaderName + ": " + encoded + "\r\n")
}

// decode replaces the compressed header fields of a response by the original ones.
func (c *headerCodec) decode(response *http.Response) error {
	fields, err := c.decoder.Decode(response.Header.Get(hop.HeaderName))
	if err != nil {
		return err
	}
	response.Header = fields.Header
	return nil
}
