package calls

import (
	"io"
	"net/http"
	"strconv"

	"samphireflow/internal/exchange"
)

// maxBufferedBody is the longest body that is buffered, so that the call can be sent again.
const maxBufferedBody = 64 << 10

// Body is the body of a request, either buffered in Bytes or left in Stream, which has Length bytes, or -1 if that is not
// known. Present reports whether the request has a buffered body, which may be empty.
type Body struct {
	Bytes   []byte
	Present bool
	Stream  io.Reader
	Length  int64
}

// ReadBody buffers a body of at most maxBufferedBody bytes. A longer one is returned as a stream, also if its length only
// shows while it is read.
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

// prefixReader reads the part of a streamed body that ReadBody has already read.
type prefixReader struct{ rest []byte }

// Read implements io.Reader.
func (p *prefixReader) Read(buffer []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// AssignTo sets the body fields of a call.
func (b Body) AssignTo(c *Call) {
	c.Body, c.HasBody, c.Stream, c.StreamLength = b.Bytes, b.Present, b.Stream, b.Length
}

// WriteResponse forwards a response: its end-to-end header fields, status and body, without header fields that net/http
// would add. If a streamed body fails midway, WriteResponse panics with http.ErrAbortHandler, which closes the connection,
// so that the receiver cannot take a truncated response for a complete one.
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
	// A failed write means that the receiver closed its connection; the rest of the response is dropped.
	_, err := w.Write(response.Body)
	if response.Rest == nil {
		return
	}
	if err == nil {
		// The writer's own way of copying would take another buffer.
		_, err = io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{response.Rest}, make([]byte, response.PieceBytes))
	}
	closeErr := response.Rest.Close()
	if err != nil || closeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// bodyAllowed reports whether a response of the given status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
