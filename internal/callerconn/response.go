package callerconn

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxBufferedResponse is the number of bytes of a response that are buffered until the earlier responses have been sent.
// Then its writer waits.
const maxBufferedResponse = 256 << 10

// maxJoinedBody is the longest body that is copied behind its header, so that one write sends both.
const maxJoinedBody = 16 << 10

// response is the http.ResponseWriter of one request. It buffers the response until the responses to all earlier requests
// of the connection have been sent.
type response struct {
	session *session
	request *http.Request
	// previousDone is closed when all earlier responses have been sent, done when this one has been sent.
	previousDone chan struct{}
	done         chan struct{}
	// held is the memory of the request and the response, bufferHeld the part for buffer.
	held       *heldMemory
	bufferHeld int
	// closesConn is set if the connection closes after this response.
	closesConn bool

	header   http.Header
	status   int
	buffer   bytes.Buffer
	headSent bool
	chunked  bool
	writeErr error
}

func newResponse(s *session, r *http.Request, previousDone chan struct{}) *response {
	return &response{session: s, request: r, previousDone: previousDone, done: make(chan struct{}), closesConn: r.Close, header: http.Header{}}
}

// serve runs the handler and sends the rest of the response once all earlier responses have been sent.
func (w *response) serve(handler http.Handler) {
	defer close(w.done)
	aborted := w.runHandler(handler)
	<-w.previousDone
	if w.session.broken.Load() {
		return
	}
	if aborted || w.writeErr != nil {
		// The call may have run, so nothing can be said but that its response does not arrive.
		w.abort()
		return
	}
	if w.request.Body != nil {
		// The next request follows the rest of the body. If that is long, the connection closes instead.
		n, err := io.CopyN(io.Discard, w.request.Body, maxBufferedBody)
		if err == nil && n == maxBufferedBody || err != nil && !errors.Is(err, io.EOF) {
			w.closesConn = true
		}
	}
	if err := w.flush(true); err != nil {
		w.abort()
		return
	}
	if w.closesConn {
		// An expired deadline ends the reading of requests, and thereby the session.
		_ = w.session.conn.SetReadDeadline(time.Now())
	}
}

// runHandler runs the handler and reports whether it aborted the response by a panic.
func (w *response) runHandler(handler http.Handler) (aborted bool) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		aborted = true
		if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			w.session.server.options.Logger.Error().Interface("cause", cause).Str("target", w.request.RequestURI).Msg("handler of a request panicked")
		}
	}()
	handler.ServeHTTP(w, w.request)
	return false
}

// abort closes the connection, so that the caller does not take an incomplete response for a complete one.
func (w *response) abort() {
	w.session.broken.Store(true)
	_ = w.session.conn.Close()
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader sets the status. Only the first call has an effect.
func (w *response) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write buffers data. Once maxBufferedResponse is reached, it waits until all earlier responses have been sent and flushes.
func (w *response) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.writeErr != nil {
		return 0, w.writeErr
	}
	if w.request.Method == http.MethodHead {
		return len(data), nil
	}
	if more := w.buffer.Len() + len(data) - w.bufferHeld; more > 0 {
		if w.writeErr = w.held.add(int64(more)); w.writeErr != nil {
			w.buffer = bytes.Buffer{}
			w.held.release()
			return 0, w.writeErr
		}
		w.bufferHeld += more
	}
	w.buffer.Write(data)
	if w.buffer.Len() < maxBufferedResponse {
		return len(data), nil
	}
	select {
	case <-w.previousDone:
	case <-w.session.conn.Context().Done():
		w.writeErr = io.ErrClosedPipe
		return 0, w.writeErr
	}
	if w.writeErr = w.flush(false); w.writeErr != nil {
		return 0, w.writeErr
	}
	return len(data), nil
}

// flush sends the buffered data. final is set if the response ends with it.
func (w *response) flush(final bool) error {
	w.WriteHeader(http.StatusOK)
	var out bytes.Buffer
	if !w.headSent {
		w.headSent = true
		w.writeHead(&out, final)
	}
	switch {
	case !w.chunked && w.buffer.Len() > maxJoinedBody:
		if _, err := w.session.conn.Write(out.Bytes()); err != nil {
			return err
		}
		_, err := w.buffer.WriteTo(w.session.conn)
		return err
	case !w.chunked:
		w.buffer.WriteTo(&out)
	default:
		if w.buffer.Len() > 0 {
			out.WriteString(strconv.FormatInt(int64(w.buffer.Len()), 16) + "\r\n")
			w.buffer.WriteTo(&out)
			out.WriteString("\r\n")
		}
		if final {
			out.WriteString("0\r\n\r\n")
		}
	}
	if out.Len() == 0 {
		return nil
	}
	_, err := w.session.conn.Write(out.Bytes())
	return err
}

// writeHead writes the status line and the header fields.
func (w *response) writeHead(out *bytes.Buffer, final bool) {
	w.closesConn = w.closesConn || !w.request.ProtoAtLeast(1, 1)
	w.closesConn = w.session.decideClose(w)
	noBody := w.request.Method == http.MethodHead || w.status == http.StatusNoContent || w.status == http.StatusNotModified
	if w.header.Get("Content-Length") == "" && !noBody {
		if final {
			w.header.Set("Content-Length", strconv.Itoa(w.buffer.Len()))
		} else {
			w.chunked = true
			w.header.Set("Transfer-Encoding", "chunked")
		}
	}
	if w.closesConn {
		w.header.Set("Connection", "close")
	}
	out.WriteString("HTTP/1.1 " + statusLine(w.status) + "\r\n")
	// A write to a buffer cannot fail.
	_ = w.header.Write(out)
	out.WriteString("\r\n")
}

// statusLine returns the status and its text.
func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "status"
	}
	return strconv.Itoa(status) + " " + text
}
