package calls

import (
	"io"
	"net/http"
	"strconv"

	"samphireflow/internal/exchange"
)

// maxBufferedBody is the longest body of a call that is held, so that the call can be sent again.
const maxBufferedBody = 64 << 10

// Body is the body of a request, whole or as a stream.
type Body struct {
	Bytes   []byte
	Present bool
	Stream  io.Reader
	Length  int64
}

// ReadBody reads a body that is short enough to hold; a longer one, or one of unknown length that proves longer, is left
// to be streamed.
func ReadBody(r *http.Request) (Body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return Body{Present: r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0}, nil
	}
	if r.ContentLength > maxBufferedBody {
		return Body{Stream: r.Body, Length: r.ContentLength}, nil
	}
	start, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	if err != nil {
		return Body{}, err
	}
	if len(start) > maxBufferedBody {
		return Body{Stream: io.MultiReader(&prefixReader{start}, r.Body), Length: -1}, nil
	}
	return Body{Bytes: start, Present: true}, nil
}

// prefixReader reads a piece of a body that was read before.
type prefixReader struct{ rest []byte }

// Read returns io.EOF after the last byte.
func (p *prefixReader) Read(buffer []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// AssignTo puts the body into a call.
func (b Body) AssignTo(c *Call) {
	c.Body, c.HasBody, c.Stream, c.StreamLength = b.Bytes, b.Present, b.Stream, b.Length
}

// WriteResponse passes an answer on: its end-to-end header fields, status and body, and none of this side's own. If a
// streamed body fails midway the connection is broken off, so that the receiver cannot take the answer for whole: it
// panics with http.ErrAbortHandler, as net/http wants it.
func WriteResponse(w http.ResponseWriter, response *exchange.Response) {
	header, status := w.Header(), response.Status
	header["Date"] = nil
	header["Content-Type"] = nil
	for name, values := range EndToEnd(response.Header) {
		header[name] = values
	}
	if response.Length >= 0 && (response.Length > 0 || bodyAllowed(status)) {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	w.WriteHeader(status)
	// A failed write means that the receiver is gone; what is left of the answer has nobody to go to.
	_, err := w.Write(response.Body)
	if response.Rest == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(w, response.Rest)
	}
	closed := response.Rest.Close()
	if err != nil || closed != nil {
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
