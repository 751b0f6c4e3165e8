package callerconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/resources"
)

const (
	// maxParallel bounds the requests of one connection that are in flight.
	maxParallel = 16
	// maxBufferedBody is the longest request body that is buffered, so that the next request can be read at once. After a
	// request with a longer body, the next one is read when the response has been sent.
	maxBufferedBody = 64 << 10
	// closeLinger is the time for which a closing connection waits for the caller to receive the last response.
	closeLinger = 200 * time.Millisecond
	// maxCloseLinger is that time for a caller that is still sending.
	maxCloseLinger = 2 * time.Second
)

var errHeaderTooLong = errors.New("the header of the request is too long")

// session serves one connection of a caller. Its goroutine reads the requests. Each request that may be pipelined is
// handled in a goroutine of its own.
type session struct {
	server *Server
	conn   *Conn
	reader *bufio.Reader
	limit  *headerLimitReader
	// idle is set while the session waits for the first byte of a request.
	idle          atomic.Bool
	inFlight      sync.WaitGroup
	inFlightSlots chan struct{}
	// broken is set once no further response can be sent.
	broken atomic.Bool
	// mu guards last and closeDecided.
	mu sync.Mutex
	// last is closed when the response to the last accepted request has been sent.
	last chan struct{}
	// closeDecided is set once a response announces that the connection closes. From then on no request is accepted.
	closeDecided bool
	// requests is the number of requests that have been read and not answered.
	requests int
}

// headerLimitReader fails after remaining bytes have been read. It bounds the length of a header.
type headerLimitReader struct {
	conn      *Conn
	remaining int
	// held is what the connection holds in its account for the header.
	held int64
}

// Read implements io.Reader.
func (l *headerLimitReader) Read(buffer []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := l.conn.Read(buffer[:min(len(buffer), l.remaining)])
	if l.remaining == unlimited {
		return n, err
	}
	l.remaining -= n
	weight := resources.HeadWeight(bytes.Count(buffer[:n], []byte("\n")), n)
	if refused := l.conn.account.Hold(weight); refused != nil {
		return 0, refused
	}
	l.held += weight
	return n, err
}

// unlimited is greater than the length of any body.
const unlimited = int(^uint(0) >> 1)

func newSession(server *Server, conn *Conn) *session {
	limit := &headerLimitReader{conn: conn}
	first := make(chan struct{})
	close(first)
	return &session{server: server, conn: conn, limit: limit, reader: bufio.NewReader(limit), inFlightSlots: make(chan struct{}, maxParallel), last: first}
}

// run serves the connection until either side ends it.
func (s *session) run() {
	for s.serveNext() {
	}
	<-s.lastDone()
	s.inFlight.Wait()
	s.closeGracefully()
}

// closeGracefully closes the sending direction first and then waits for the caller to close the connection. Closing at once
// while received bytes are unread would reset the connection, and the caller could lose the last response.
func (s *session) closeGracefully() {
	if !s.broken.Load() {
		// CloseWrite fails if the caller has already closed the connection; then there is nothing to wait for.
		s.conn.Discard()
		if s.conn.CloseWrite() == nil {
			s.linger()
		}
	}
	_ = s.conn.Close()
}

// linger waits for the caller to close the connection, for as long as bytes arrive, at most maxCloseLinger.
func (s *session) linger() {
	before := s.conn.Received()
	for range maxCloseLinger / closeLinger {
		select {
		case <-s.conn.Context().Done():
			return
		case <-time.After(closeLinger):
		}
		received := s.conn.Received()
		if received == before {
			return
		}
		before = received
	}
}

// closeIfIdle closes the connection if it is idle.
func (s *session) closeIfIdle() {
	if s.idle.Load() {
		// An expired deadline ends the reading of requests, and thereby the session.
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// serveNext reads one request and handles it, in a goroutine of its own if it may be pipelined. It reports whether another
// request may follow.
func (s *session) serveNext() bool {
	select {
	case s.inFlightSlots <- struct{}{}:
	case <-s.conn.Context().Done():
		return false
	}
	r, err := s.readRequest()
	if err != nil {
		<-s.inFlightSlots
		s.rejectUnreadable(err)
		return false
	}
	memory := s.conn.account.NewMemory(s.limit.held)
	s.limit.held = 0
	s.begin()
	end := func() {
		memory.Release()
		<-s.inFlightSlots
		s.end()
	}
	r = r.WithContext(resources.WithMemory(r.Context(), memory))
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &body{ReadCloser: r.Body, conn: s.conn.account, memory: memory}
	}
	buffered := false
	if err = memory.AddRequest(); err == nil {
		buffered, err = s.bufferBody(r)
	}
	if errors.Is(err, resources.ErrNoMemory) {
		end()
		s.rejectUnreadable(err)
		return false
	}
	parallel := buffered && s.server.options.MayPipeline(r)
	w := s.enqueue(r)
	if w == nil {
		end()
		return false
	}
	w.memory = memory
	s.inFlight.Add(1)
	handle := func() {
		defer s.inFlight.Done()
		defer end()
		if !parallel {
			<-w.previousDone
		}
		w.serve(s.server.options.Handler)
	}
	if parallel {
		go handle()
		return !r.Close
	}
	handle()
	return !w.closesConn && !s.broken.Load()
}

// begin records that a request has been read, end that it has been answered or given up.
func (s *session) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.conn.account.Run(1)
}

func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests--
	s.conn.account.Run(-1)
	if s.requests == 0 && s.idle.Load() {
		s.conn.account.Idle()
	}
}

// waitIdle records that the session waits for the first byte of a request. It reports false if no further request is accepted:
// a response that decided so may have set the deadline that ends the reading before the session set its own.
func (s *session) waitIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeDecided {
		return false
	}
	s.idle.Store(true)
	if s.requests == 0 {
		s.conn.account.Idle()
	}
	return true
}

// enqueue returns the response to an accepted request, to be sent after those of all earlier requests. It returns nil if an
// earlier response closes the connection.
func (s *session) enqueue(r *http.Request) *response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeDecided {
		return nil
	}
	w := newResponse(s, r, s.last)
	s.last = w.done
	return w
}

// lastDone returns a channel that is closed when the responses to all accepted requests have been sent.
func (s *session) lastDone() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// decideClose decides whether a response announces that the connection closes. It does if the request requires it, or if the
// server stops or has too many connections and this is the response to the last accepted request. After such a response no
// further request is accepted.
func (s *session) decideClose(w *response) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.closesConn || s.server.shouldCloseConns() && s.last == w.done {
		s.closeDecided = true
	}
	return s.closeDecided
}

// readRequest waits for a request and reads its header.
func (s *session) readRequest() (*http.Request, error) {
	s.limit.remaining = s.server.options.MaxHeaderBytes()
	_ = s.conn.SetReadDeadline(time.Now().Add(s.server.options.IdleTimeout()))
	if !s.waitIdle() {
		return nil, io.EOF
	}
	if s.server.stopping.Load() && s.reader.Buffered() == 0 {
		// Shutdown may have called closeIfIdle before the session became idle.
		_ = s.conn.SetReadDeadline(time.Now())
	}
	_, err := s.reader.Peek(1)
	s.idle.Store(false)
	if errors.Is(err, resources.ErrNoMemory) {
		return nil, err
	}
	if err != nil {
		return nil, io.EOF
	}
	s.conn.account.Begin()
	_ = s.conn.SetReadDeadline(time.Now().Add(s.server.options.HeaderTimeout()))
	r, err := http.ReadRequest(s.reader)
	if err != nil {
		return nil, err
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	s.limit.remaining = unlimited
	if r.ProtoAtLeast(1, 1) && r.Host == "" {
		return nil, errors.New("the request has no Host field")
	}
	r.RemoteAddr = s.conn.RemoteAddr().String()
	return r.WithContext(s.conn.Context()), nil
}

// bufferBody buffers a short body, so that the next request can be read. It reports whether the request has been read from
// the connection completely.
func (s *session) bufferBody(r *http.Request) (bool, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return true, nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		<-s.lastDone()
		// A failed write is ignored: a caller that does not receive the interim response sends its body after some time.
		_, _ = io.WriteString(s.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return false, nil
	}
	body, err := readShort(r.Body, int(r.ContentLength))
	if err != nil {
		r.Body = io.NopCloser(&errorReader{err})
		return false, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true, nil
}

// firstBodyBuffer is the size of the first buffer for a short body, in bytes.
const firstBodyBuffer = 4 << 10

// readShort reads a body of a known length. It allocates memory as far as the body has arrived.
func readShort(from io.Reader, length int) ([]byte, error) {
	body := make([]byte, 0, min(length, firstBodyBuffer))
	for len(body) < length {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(length, 2*cap(body))), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && len(body) < length {
			return nil, err
		}
	}
	return body, nil
}

// errorReader is a request body whose reading failed.
type errorReader struct{ err error }

// Read returns the error of the body.
func (r *errorReader) Read([]byte) (int, error) { return 0, r.err }

// rejectUnreadable responds to a malformed or late request, after the responses to all earlier requests. It does nothing if
// no request had begun or the connection has ended.
func (s *session) rejectUnreadable(err error) {
	if errors.Is(err, io.EOF) || s.conn.Context().Err() != nil {
		return
	}
	<-s.lastDone()
	if s.broken.Load() {
		return
	}
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, resources.ErrNoMemory):
		status = http.StatusServiceUnavailable
	case errors.Is(err, errHeaderTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	if omitted, may := s.server.unreadable.next(time.Now()); may {
		s.server.options.Logger.Info().Err(err).Str("peer", s.conn.RemoteAddr().String()).Int("status", status).Int("omitted", omitted).
			Msg("cannot read a request of a caller")
	}
	text := http.StatusText(status)
	// The write may fail because the caller has closed the connection.
	_, _ = io.WriteString(s.conn, "HTTP/1.1 "+statusLine(status)+"\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "+
		strconv.Itoa(len(text)+1)+"\r\n\r\n"+text+"\n")
}
