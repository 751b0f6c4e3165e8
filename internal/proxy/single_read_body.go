package proxy

import (
	"bytes"
	"io"
	"net/http"
)

// singleReadBody is a request body that can be read only once. http.Transport resends requests on its own only if their
// body is empty or can be read again; with this body it never does.
type singleReadBody struct {
	reader *bytes.Reader
}

// Read implements io.Reader.
func (b *singleReadBody) Read(buffer []byte) (int, error) {
	return b.reader.Read(buffer)
}

// Close implements io.Closer; there is nothing to close.
func (b *singleReadBody) Close() error {
	return nil
}

// setBody sets the body of a request. An empty one is set as a body of unknown length, because the transport resends a
// request without a body.
func setBody(request *http.Request, body []byte) {
	request.Body = &singleReadBody{reader: bytes.NewReader(body)}
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.ContentLength = -1
	}
}

var _ io.ReadCloser = (*singleReadBody)(nil)
