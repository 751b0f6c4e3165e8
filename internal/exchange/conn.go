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
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 256 << 10
	// readBuffer is the size of a connection's read buffer; most answers are shorter.
	readBuffer = 4 << 10
	// maxForeignAnswers is the number of late answers to earlier requests that are skipped before the connection is
	// given up.
	maxForeignAnswers = 3
	// unlimited is more than any body.
	unlimited = 1 << 62
	// maxInterim is the number of interim answers (1xx) that are skipped.
	maxInterim = 8
)

var (
	errHeaderTooLong = errors.New("the header of the answer is too long")
	errForeign       = errors.New("the answer belongs to another request")
)

// conn is one connection. It is used by one exchange at a time.
type conn struct {
	net    net.Conn
	addr   string
	reader *bufio.Reader
	limit  *limitReader
	// idleSince is the end of the last exchange; idleFor is how long the other side keeps the connection after it, 0
	// when it does not say.
	idleSince time.Time
	idleFor   time.Duration
	// packing is nil where header fields are sent as they are.
	packing *packing
}

// limitReader fails once more than left bytes were read, so that a header has an end.
type limitReader struct {
	net  net.Conn
	left int64
}

// Read reads from the connection within the limit.
func (l *limitReader) Read(buffer []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := l.net.Read(buffer)
	l.left -= int64(n)
	return n, err
}

func newConn(inner net.Conn, addr string) *conn {
	limit := &limitReader{net: inner}
	return &conn{net: inner, addr: addr, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer)}
}

// usable reports whether an idle connection is still open and has nothing to read: bytes that came unasked belong to no
// request of this side.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// readAnswer reads the header of the answer to a request. Answers that bear another ID came late to an earlier request:
// they are skipped.
func (c *conn) readAnswer(request *Request) (*http.Response, error) {
	want := ""
	if request.EchoHeader != "" {
		want = request.Header.Get(request.EchoHeader)
	}
	for range maxForeignAnswers {
		response, err := c.readFinal(request)
		if err != nil {
			return nil, err
		}
		if want == "" || response.Header.Get(request.EchoHeader) == want {
			return response, nil
		}
		if response.Close || response.ContentLength < 0 {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

// readFinal reads up to the header of a final answer.
func (c *conn) readFinal(request *Request) (*http.Response, error) {
	for range maxInterim {
		c.limit.left = maxHeaderBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		c.limit.left = unlimited
		if c.packing != nil {
			if err := c.packing.unpack(response); err != nil {
				return nil, err
			}
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// keep notes the end of an exchange. It reports whether the connection can be used again.
func (c *conn) keep(response *http.Response, now time.Time) bool {
	if response.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.idleSince = now
	c.idleFor = keepAliveTimeout(response.Header)
	return true
}

// keepAliveTimeout reads the time that the other side keeps an idle connection, 0 when it does not say.
func keepAliveTimeout(header http.Header) time.Duration {
	seconds, found := parameter(header.Get("Keep-Alive"), "timeout")
	if !found {
		return 0
	}
	number, err := strconv.Atoi(seconds)
	if err != nil || number <= 0 {
		return 0
	}
	return time.Duration(number) * time.Second
}
