package calls

import (
	"io"
	"net/http"
	"strconv"

	"samphireflow/internal/exchange"
)

// heldBody is the longest body of a call that is held, so that the call can be sent again.
const heldBody = 64 << 10

// Body is the body of a request, whole or as a stream.
type Body struct {
	Whole  []byte
	Has    bool
	Stream io.Reader
	Length int64
}

// ReadBody reads a body that is short enough to hold; a longer one, or one of unknown length that proves longer, is left
// to be streamed.
func ReadBody(r *http.Request) (Body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return Body{Has: r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0}, nil
	}
	if r.ContentLength > heldBody {
		return Body{Stream: r.Body, Length: r.ContentLength}, nil
	}
	begin, err := io.ReadAll(io.LimitReader(r.Body, heldBody+1))
	if err != nil {
		return Body{}, err
	}
	if len(begin) > heldBody {
		return Body{Stream: io.MultiReader(&prefix{begin}, r.Body), Length: -1}, nil
	}
	return Body{Whole: begin, Has: true}, nil
}

// prefix reads a piece of a body that was read before.
type prefix struct{ left []byte }

// Read returns io.EOF after the last byte.
func (p *prefix) Read(buffer []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, p.left)
	p.left = p.left[n:]
	return n, nil
}

// Into puts the body into a call.
func (b Body) Into(c *Call) {
	c.Body, c.HasBody, c.Stream, c.StreamLength = b.Whole, b.Has, b.Stream, b.Length
}

// WriteAnswer passes an answer on: its end-to-end header fields, status and body, and none of this side's own. If a
// streamed body fails midway the connection is broken off, so that the receiver cannot take the answer for whole: it
// panics with http.ErrAbortHandler, as net/http wants it.
func WriteAnswer(w http.ResponseWriter, response *exchange.Response) {
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
