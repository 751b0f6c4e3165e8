package proxy

import (
	"bytes"
	"io"
	"net/http"
)

// once is a request body that can be read one time only. The transport repeats requests by itself only when their body
// is empty or can be read again, so with this body it never does.
type once struct {
	reader *bytes.Reader
}

// Read reads from the body.
func (o *once) Read(buffer []byte) (int, error) {
	return o.reader.Read(buffer)
}

// Close does nothing.
func (o *once) Close() error {
	return nil
}

// setBody gives a request its body. An empty body is set as well, because the transport would take a request without
// one for repeatable.
func setBody(request *http.Request, body []byte) {
	request.Body = &once{reader: bytes.NewReader(body)}
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.ContentLength = -1
	}
}

var _ io.ReadCloser = (*once)(nil)
