package callerconn

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// heldAnswer is the number of bytes of an answer that are held until its turn; then its writer waits.
const heldAnswer = 256 << 10

// answer is the http.ResponseWriter of one request. What is written waits until all earlier requests of the connection
// have been answered.
type answer struct {
	session *session
	request *http.Request
	// turn is closed when the answers before have been sent, done when this one has.
	turn chan struct{}
	done chan struct{}
	// closes says that the caller closes the connection after this request.
	closes bool

	header  http.Header
	status  int
	held    bytes.Buffer
	sent    bool
	chunked bool
	failed  error
}

func newAnswer(s *session, r *http.Request, turn chan struct{}) *answer {
	return &answer{session: s, request: r, turn: turn, done: make(chan struct{}), closes: r.Close, header: http.Header{}}
}

// serve works on the request and sends what is left of the answer when its turn comes.
func (a *answer) serve(handler http.Handler) {
	defer close(a.done)
	aborted := a.call(handler)
	<-a.turn
	if a.session.broken.Load() {
		return
	}
	if aborted {
		a.abort()
		return
	}
	if a.request.Body != nil {
		// What is left of a body is in the way of the next request.
		if n, err := io.CopyN(io.Discard, a.request.Body, heldBody); err == nil && n == heldBody {
			a.closes = true
		}
	}
	if err := a.flush(true); err != nil {
		a.abort()
		return
	}
	if a.closes {
		// The reader ends, and with it the session.
		_ = a.session.conn.SetReadDeadline(time.Now())
	}
}

// call runs the handler and reports whether it broke the answer off.
func (a *answer) call(handler http.Handler) (aborted bool) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		aborted = true
		if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			a.session.server.options.Logger.Error().Interface("cause", cause).Str("target", a.request.RequestURI).Msg("a request made its handler panic")
		}
	}()
	handler.ServeHTTP(a, a.request)
	return false
}

// abort breaks the connection off, so that nobody takes what was sent for a whole answer.
func (a *answer) abort() {
	a.session.broken.Store(true)
	_ = a.session.conn.Close()
}

// Header returns the header fields to be sent.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader sets the status once.
func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write holds data until the answer's turn.
func (a *answer) Write(data []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	if a.failed != nil {
		return 0, a.failed
	}
	if a.request.Method == http.MethodHead {
		return len(data), nil
	}
	a.held.Write(data)
	if a.held.Len() < heldAnswer {
		return len(data), nil
	}
	select {
	case <-a.turn:
	case <-a.session.conn.Context().Done():
		a.failed = io.ErrClosedPipe
		return 0, a.failed
	}
	if a.failed = a.flush(false); a.failed != nil {
		return 0, a.failed
	}
	return len(data), nil
}

// flush sends what is held; whole says that nothing follows.
func (a *answer) flush(whole bool) error {
	a.WriteHeader(http.StatusOK)
	var out bytes.Buffer
	if !a.sent {
		a.sent = true
		a.writeHead(&out, whole)
	}
	switch {
	case !a.chunked:
		a.held.WriteTo(&out)
	default:
		if a.held.Len() > 0 {
			out.WriteString(strconv.FormatInt(int64(a.held.Len()), 16) + "\r\n")
			a.held.WriteTo(&out)
			out.WriteString("\r\n")
		}
		if whole {
			out.WriteString("0\r\n\r\n")
		}
	}
	if out.Len() == 0 {
		return nil
	}
	_, err := a.session.conn.Write(out.Bytes())
	return err
}

// writeHead writes the status line and the header fields.
func (a *answer) writeHead(out *bytes.Buffer, whole bool) {
	a.closes = a.closes || !a.request.ProtoAtLeast(1, 1)
	a.closes = a.session.seal(a)
	noBody := a.request.Method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified
	if a.header.Get("Content-Length") == "" && !noBody {
		if whole {
			a.header.Set("Content-Length", strconv.Itoa(a.held.Len()))
		} else {
			a.chunked = true
			a.header.Set("Transfer-Encoding", "chunked")
		}
	}
	if a.closes {
		a.header.Set("Connection", "close")
	}
	out.WriteString("HTTP/1.1 " + statusLine(a.status) + "\r\n")
	// A write to a buffer cannot fail.
	_ = a.header.Write(out)
	out.WriteString("\r\n")
}

func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "status"
	}
	return strconv.Itoa(status) + " " + text
}
