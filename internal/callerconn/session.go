package callerconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxParallel bounds the requests of one connection that are worked on at the same time.
	maxParallel = 16
	// heldBody is the longest body that is read before the next request is; a request with a longer one is answered
	// before the next is read.
	heldBody = 64 << 10
	// closeLinger is the time for which a closing connection waits for the caller to take the last answer.
	closeLinger = 200 * time.Millisecond
)

var errHeaderTooLong = errors.New("the header is too long")

// session is one connection of a caller. Its goroutine reads the requests; each request has a goroutine of its own.
type session struct {
	server *Server
	conn   *Conn
	reader *bufio.Reader
	limit  *headerLimit
	// idle is set while the session waits for the first byte of a request and none is in flight.
	idle     atomic.Bool
	inFlight sync.WaitGroup
	slots    chan struct{}
	// broken is set once no further answer can be sent.
	broken atomic.Bool
	// mu guards last and sealed.
	mu sync.Mutex
	// last is closed when the last request that was taken has been answered.
	last chan struct{}
	// sealed is set once an answer has said that the connection closes; no further request is taken then.
	sealed bool
}

// headerLimit bounds what is read of one header.
type headerLimit struct {
	conn *Conn
	left int
}

// Read fails once the header is too long.
func (l *headerLimit) Read(buffer []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := l.conn.Read(buffer[:min(len(buffer), l.left)])
	l.left -= n
	return n, err
}

// unlimited is more than any body.
const unlimited = int(^uint(0) >> 1)

func newSession(server *Server, conn *Conn) *session {
	limit := &headerLimit{conn: conn}
	first := make(chan struct{})
	close(first)
	return &session{server: server, conn: conn, limit: limit, reader: bufio.NewReader(limit), slots: make(chan struct{}, maxParallel), last: first}
}

// run serves the connection until either side ends it.
func (s *session) run() {
	for s.next() {
	}
	<-s.due()
	s.inFlight.Wait()
	s.finish()
}

// finish closes the connection so that the caller gets the last answer: it is not reset by bytes that nobody read.
func (s *session) finish() {
	if !s.broken.Load() {
		// A caller that is gone already needs no end.
		if s.conn.CloseWrite() == nil {
			select {
			case <-s.conn.Context().Done():
			case <-time.After(closeLinger):
			}
		}
	}
	_ = s.conn.Close()
}

// wakeIdle closes the connection if it is idle.
func (s *session) wakeIdle() {
	if s.idle.Load() {
		// Reading ends, and with it the session.
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// next reads one request and has it answered. It reports whether another one may follow.
func (s *session) next() bool {
	select {
	case s.slots <- struct{}{}:
	case <-s.conn.Context().Done():
		return false
	}
	r, err := s.read()
	if err != nil {
		<-s.slots
		s.refuseUnreadable(err)
		return false
	}
	parallel := s.holdBody(r) && s.server.options.MayPipeline(r)
	a := s.take(r)
	if a == nil {
		<-s.slots
		return false
	}
	s.inFlight.Add(1)
	work := func() {
		defer s.inFlight.Done()
		defer func() { <-s.slots }()
		if !parallel {
			<-a.turn
		}
		a.serve(s.server.options.Handler)
	}
	if parallel {
		go work()
		return !r.Close
	}
	work()
	return !a.closes && !s.broken.Load()
}

// take queues the answer to a request behind those that are due. It returns nil when the connection closes before it.
func (s *session) take(r *http.Request) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return nil
	}
	a := newAnswer(s, r, s.last)
	s.last = a.done
	return a
}

// due returns the channel that is closed when all requests that were taken have been answered.
func (s *session) due() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// seal decides whether an answer says that the connection closes: the caller wants it, or the server stops or has too
// many connections and no request was taken after this one. Either way no further one is taken.
func (s *session) seal(a *answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.closes || s.server.closesNext() && s.last == a.done {
		s.sealed = true
	}
	return s.sealed
}

// read waits for a request and reads its header.
func (s *session) read() (*http.Request, error) {
	s.limit.left = s.server.options.MaxHeaderBytes
	_ = s.conn.SetReadDeadline(time.Now().Add(s.server.options.IdleTimeout()))
	s.idle.Store(true)
	if s.server.stopping.Load() && s.reader.Buffered() == 0 {
		// A stop that did not find the session idle yet.
		_ = s.conn.SetReadDeadline(time.Now())
	}
	_, err := s.reader.Peek(1)
	s.idle.Store(false)
	if err != nil {
		return nil, io.EOF
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(s.server.options.HeaderTimeout))
	r, err := http.ReadRequest(s.reader)
	if err != nil {
		return nil, err
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	s.limit.left = unlimited
	if r.ProtoAtLeast(1, 1) && r.Host == "" {
		return nil, errors.New("the request names no host")
	}
	r.RemoteAddr = s.conn.RemoteAddr().String()
	return r.WithContext(s.conn.Context()), nil
}

// holdBody reads a short body, so that the next request can be read. It reports whether nothing of the request is left
// on the connection.
func (s *session) holdBody(r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return true
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		<-s.due()
		// A caller that does not get it goes on after some time.
		_, _ = io.WriteString(s.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if r.ContentLength < 0 || r.ContentLength > heldBody {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		r.Body = io.NopCloser(&failing{err})
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// failing is a body that could not be read.
type failing struct{ err error }

// Read returns the error.
func (f *failing) Read([]byte) (int, error) { return 0, f.err }

// refuseUnreadable answers what is no request, after the answers that are due.
func (s *session) refuseUnreadable(err error) {
	if errors.Is(err, io.EOF) || s.conn.Context().Err() != nil {
		return
	}
	<-s.due()
	if s.broken.Load() {
		return
	}
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, context.DeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	s.server.options.Logger.Info().Err(err).Str("peer", s.conn.RemoteAddr().String()).Int("status", status).Msg("request cannot be read")
	text := http.StatusText(status)
	// The caller may be gone by now.
	_, _ = io.WriteString(s.conn, "HTTP/1.1 "+statusLine(status)+"\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "+
		strconv.Itoa(len(text)+1)+"\r\n\r\n"+text+"\n")
}
