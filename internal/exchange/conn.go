package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxHeaderBytes bounds the header of a response. A decoded header takes up to 15 times as much memory.
	maxHeaderBytes = 64 << 10
	// readBufferSize is the size of a connection's read buffer. Most responses are shorter.
	readBufferSize = 4 << 10
	// maxSkippedBody bounds the body, in bytes, of a late response that is skipped. Above it a new connection is cheaper.
	maxSkippedBody = 64 << 10
	// maxStaleResponses is the number of late responses to earlier requests after which an exchange fails.
	maxStaleResponses = 3
	// unlimited is greater than the length of any body.
	unlimited = 1 << 62
	// maxInterimResponses is the number of interim responses (1xx) after which an exchange fails.
	maxInterimResponses = 8
)

var (
	errHeaderTooLong    = errors.New("the header of the answer is too long")
	errResponseMismatch = errors.New("the answer belongs to another request")
)

// conn is a connection. It is used by one exchange at a time.
type conn struct {
	netConn net.Conn
	addr    string
	writer  *connWriter
	reader  *bufio.Reader
	limit   *limitReader
	// idleSince is the end of the last exchange. peerIdleTimeout is the time for which the server keeps an idle
	// connection, 0 if it does not report that.
	idleSince       time.Time
	peerIdleTimeout time.Duration
	// codec is nil if header fields are not compressed.
	codec *headerCodec
	// wide is set while the receive buffer has longReadBuffer bytes.
	wide bool
}

// limitReader bounds the length of a header. A read fails if it begins after remaining bytes have been read, so a header
// can exceed the limit by less than one read.
type limitReader struct {
	netConn   net.Conn
	remaining int64
}

// Read implements io.Reader.
func (l *limitReader) Read(buffer []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := l.netConn.Read(buffer)
	l.remaining -= int64(n)
	return n, err
}

func newConn(netConn net.Conn, addr string) *conn {
	limit := &limitReader{netConn: netConn}
	return &conn{netConn: netConn, addr: addr, writer: &connWriter{netConn: netConn}, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize)}
}

// usable reports whether an idle connection is still open and has no bytes to read. Bytes that arrive while no request
// is in flight belong to no response.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}

// readResponse reads the header of the response to a request. It skips responses with another ID, which are late
// responses to earlier requests.
func (c *conn) readResponse(request *Request) (*http.Response, error) {
	want := ""
	if request.EchoHeader != "" {
		want = request.Header.Get(request.EchoHeader)
	}
	for range maxStaleResponses {
		response, err := c.readFinalResponse(request)
		if err != nil {
			return nil, err
		}
		if want == "" || response.Header.Get(request.EchoHeader) == want {
			return response, nil
		}
		if response.Close || response.ContentLength < 0 || response.ContentLength > maxSkippedBody {
			return nil, errResponseMismatch
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errResponseMismatch
}

// readFinalResponse skips interim responses and reads the header of the final one.
func (c *conn) readFinalResponse(request *Request) (*http.Response, error) {
	for range maxInterimResponses {
		c.limit.remaining = maxHeaderBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if err := CheckStatusLine(response); err != nil {
			return nil, err
		}
		c.limit.remaining = unlimited
		if c.codec != nil {
			if err := c.codec.decode(response); err != nil {
				return nil, err
			}
		}
		if response.StatusCode >= http.StatusOK {
			response.Body = c.completeBody(response)
			return response, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// completeBody returns the body of a response, which ends with io.EOF only if the response is complete. A length or chunks tell where
// it ends. Without them the end of the connection does, but not its failure.
func (c *conn) completeBody(response *http.Response) io.ReadCloser {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return response.Body
	}
	return &bodyUntilClose{ReadCloser: response.Body, writer: c.writer}
}

// bodyUntilClose is a body that ends with its connection.
type bodyUntilClose struct {
	io.ReadCloser
	writer *connWriter
}

// Read implements io.Reader.
func (b *bodyUntilClose) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if failure := b.writer.confirmEnd(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// widen enlarges the receive buffer for a long response. Without the larger one the response takes longer.
func (c *conn) widen() {
	if tcp, ok := c.netConn.(interface{ SetReadBuffer(bytes int) error }); ok {
		c.wide = tcp.SetReadBuffer(longReadBuffer) == nil
	}
}

// narrow undoes widen.
func (c *conn) narrow() {
	if tcp, ok := c.netConn.(interface{ SetReadBuffer(bytes int) error }); ok && c.wide {
		c.wide = tcp.SetReadBuffer(readBuffer) != nil
	}
}

// markIdle records the end of an exchange and reports whether the connection can be reused.
func (c *conn) markIdle(response *http.Response, now time.Time) bool {
	if response.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.idleSince = now
	c.peerIdleTimeout = keepAliveTimeout(response.Header)
	return true
}

// keepAliveTimeout returns the time for which the server keeps an idle connection, 0 if the header does not state it.
func keepAliveTimeout(header http.Header) time.Duration {
	seconds, found := findParameter(header.Get("Keep-Alive"), "timeout")
	if !found {
		return 0
	}
	number, err := strconv.Atoi(seconds)
	if err != nil || number <= 0 {
		return 0
	}
	return time.Duration(number) * time.Second
}
