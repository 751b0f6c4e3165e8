package callerconn

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/resources"
)

// maxJoinedBody is the longest body that is copied behind its header, so that one write sends both.
const maxJoinedBody = 16 << 10

// response is the http.ResponseWriter of one request. It buffers a short response until the responses to all earlier requests
// of the connection have been sent. The writer of a longer one waits for that with what it has in memory anyway.
type response struct {
	session *session
	request *http.Request
	// previousDone is closed when all earlier responses have been sent, done when this one has been sent.
	previousDone chan struct{}
	done         chan struct{}
	// memory is that of the request and the response, bufferHeld the part of it for buffer.
	memory     *resources.Memory
	bufferHeld int
	// closesConn is set if the connection closes after this response.
	closesConn bool

	header   http.Header
	status   int
	buffer   bytes.Buffer
	headSent bool
	chunked  bool
	// untilClose is set if the end of the connection is that of the body: a caller of HTTP/1.0 knows no chunks.
	untilClose bool
	writeErr   error
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
	if err := w.send(nil, true); err != nil {
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
	if w.untilClose {
		_ = w.session.conn.Reset()
		return
	}
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

// Write buffers a little data, if there is memory for it. For more it waits until all earlier responses have been sent, and
// sends what there is.
func (w *response) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.writeErr != nil {
		return 0, w.writeErr
	}
	if w.request.Method == http.MethodHead || len(data) == 0 {
		return len(data), nil
	}
	if w.hasBuffer(w.buffer.Len() + len(data)) {
		return w.buffer.Write(data)
	}
	select {
	case <-w.previousDone:
		w.writeErr = w.send(data, false)
	case <-w.session.conn.Context().Done():
		w.writeErr = io.ErrClosedPipe
	}
	if w.writeErr != nil {
		return 0, w.writeErr
	}
	return len(data), nil
}

// hasBuffer reports whether a number of bytes may be buffered.
func (w *response) hasBuffer(bytes int) bool {
	if bytes > maxJoinedBody || bytes > w.bufferHeld && w.memory.AddBuffer(int64(bytes-w.bufferHeld)) != nil {
		return false
	}
	w.bufferHeld = max(w.bufferHeld, bytes)
	return true
}

// send sends what is buffered, and data behind it. final is set if the response ends with it.
func (w *response) send(data []byte, final bool) error {
	w.WriteHeader(http.StatusOK)
	var out bytes.Buffer
	if !w.headSent {
		w.headSent = true
		w.writeHead(&out, final)
	}
	length := w.buffer.Len() + len(data)
	if w.chunked && length > 0 {
		out.WriteString(strconv.FormatInt(int64(length), 16) + "\r\n")
	}
	// A write to a buffer cannot fail.
	_, _ = w.buffer.WriteTo(&out)
	if len(data) > maxJoinedBody {
		if _, err := w.session.conn.Write(out.Bytes()); err != nil {
			return err
		}
		out.Reset()
		if _, err := w.session.conn.Write(data); err != nil {
			return err
		}
	} else {
		out.Write(data)
	}
	if w.chunked && length > 0 {
		out.WriteString("\r\n")
	}
	if w.chunked && final {
		out.WriteString("0\r\n\r\n")
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
		switch {
		case final:
			w.header.Set("Content-Length", strconv.Itoa(w.buffer.Len()))
		case w.request.ProtoAtLeast(1, 1):
			w.chunked = true
			w.header.Set("Transfer-Encoding", "chunked")
		default:
			w.untilClose = true
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
