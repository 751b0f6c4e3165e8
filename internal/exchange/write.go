package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// streamBufferSize is the size of the buffer for sending a streamed body, in bytes, if there is memory for it. No chunk is longer.
const streamBufferSize = 32 << 10

// encodeRequest returns the request line and the header fields of a request, followed by the body unless it is streamed.
func (c *conn) encodeRequest(request *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(request.Body))
	if c.codec != nil {
		c.codec.encode(&b, request)
	} else {
		b.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
		// No value contains a line break, because all were parsed from a header. A write to a buffer cannot fail.
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

// writeStream sends a streamed body in pieces. After an error the request is incomplete and the connection must be closed.
func writeStream(to io.Writer, request *Request, pieceBytes int) error {
	buffer := make([]byte, pieceBytes)
	if request.StreamLength >= 0 {
		n, err := io.CopyBuffer(struct{ io.Writer }{to}, io.LimitReader(request.Stream, request.StreamLength), buffer)
		if err == nil && n != request.StreamLength {
			err = errors.Wrapf(io.ErrUnexpectedEOF, "the body ended after %d of %d bytes", n, request.StreamLength)
		}
		return err
	}
	for {
		n, err := request.Stream.Read(buffer)
		if n > 0 {
			chunk := append([]byte(strconv.FormatInt(int64(n), 16)+"\r\n"), buffer[:n]...)
			if _, err := to.Write(append(chunk, '\r', '\n')); err != nil {
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

// hasNoBody reports whether a response of this status to a request of this method has no body.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
