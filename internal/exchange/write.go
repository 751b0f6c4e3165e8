package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// streamBuffer is the size of the pieces of a body that is passed on.
const streamBuffer = 32 << 10

// head writes the request line and the header fields of a request, and the body when it is held.
func (c *conn) head(request *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(request.Body))
	if c.packing != nil {
		c.packing.pack(&b, request)
	} else {
		b.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
		// A value cannot hold a line break: it was parsed from a header.
		_ = request.Header.Write(&b)
	}
	switch {
	case request.Stream == nil && (len(request.Body) > 0 || request.HasBody):
		b.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	case request.Stream != nil && request.StreamLength >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(request.StreamLength, 10) + "\r\n")
	case request.Stream != nil:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	if request.Stream == nil {
		b.Write(request.Body)
	}
	return b.Bytes()
}

// writeStream passes a body on. An error leaves the request incomplete on the connection, which must be closed.
func writeStream(to io.Writer, request *Request) error {
	buffer := make([]byte, streamBuffer)
	if request.StreamLength >= 0 {
		n, err := io.CopyBuffer(to, io.LimitReader(request.Stream, request.StreamLength), buffer)
		if err == nil && n != request.StreamLength {
			err = errors.Wrapf(io.ErrUnexpectedEOF, "the body ended after %d of %d bytes", n, request.StreamLength)
		}
		return err
	}
	for {
		n, err := request.Stream.Read(buffer)
		if n > 0 {
			piece := append([]byte(strconv.FormatInt(int64(n), 16)+"\r\n"), buffer[:n]...)
			if _, err := to.Write(append(piece, '\r', '\n')); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := io.WriteString(to, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// hasNoBody reports whether an answer with this status to this method has no body.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
