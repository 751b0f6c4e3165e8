package callerconn

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Options configures a server.
type Options struct {
	Handler http.Handler
	// MayPipeline reports whether a request may be handled before the responses to earlier requests of its connection have
	// been sent. A request that must not run twice has to wait: an earlier response may close the connection, and the
	// caller would then send the request again.
	MayPipeline func(r *http.Request) bool
	// MaxHeaderBytes returns the longest header of a request, and HeaderTimeout the time in which the header must arrive.
	// IdleTimeout returns the time for which a connection without a request is kept.
	MaxHeaderBytes func() int
	HeaderTimeout  func() time.Duration
	IdleTimeout    func() time.Duration
	Logger         zerolog.Logger
	// MaxKeptConns is the number of open connections above which a connection closes after the response to the last request
	// accepted on it. 0 means no limit.
	MaxKeptConns int
}

// Server serves the connections of a listener.
type Server struct {
	options Options
	// closing is set if each connection closes after the response to the last request accepted on it. stopping is set if
	// idle connections are closed, too.
	closing  atomic.Bool
	stopping atomic.Bool

	mu           sync.Mutex
	sessions     map[*session]struct{}
	sessionGroup sync.WaitGroup
	// unreadable bounds the log lines about requests that cannot be read.
	unreadable logLimit
	// openSessions is the number of sessions.
	openSessions atomic.Int64
}

// NewServer returns a server.
func NewServer(options Options) *Server {
	return &Server{options: options, sessions: map[*session]struct{}{}}
}

// Serve accepts and serves connections until the listener is closed. Then it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		inner, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if !isTemporary(err) {
				return err
			}
			s.options.Logger.Warn().Err(err).Int("connections", len(s.sessionList())).Msg("cannot accept a connection; retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		opened := newSession(s, newConn(inner))
		s.mu.Lock()
		s.sessions[opened] = struct{}{}
		s.mu.Unlock()
		s.sessionGroup.Add(1)
		s.openSessions.Add(1)
		go func() {
			defer s.sessionGroup.Done()
			opened.run()
			opened.conn.end()
			s.mu.Lock()
			delete(s.sessions, opened)
			s.mu.Unlock()
			s.openSessions.Add(-1)
		}()
	}
}

// acceptRetryDelay is the time after which Serve retries after a temporary error of the listener.
const acceptRetryDelay = 10 * time.Millisecond

// isTemporary reports whether an error of a listener is temporary: the process is short of descriptors or memory, or the
// other side has closed a connection before it was accepted.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, os.ErrDeadlineExceeded} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// CloseAfterResponses makes each connection close after the response to the last request accepted on it or, if that
// response has begun, after the response to the next request. The response announces the close. Later requests are not
// handled, so the caller can send them again.
func (s *Server) CloseAfterResponses() {
	s.closing.Store(true)
}

// shouldCloseConns reports whether each connection closes after the response to the last request accepted on it.
func (s *Server) shouldCloseConns() bool {
	return s.closing.Load() || s.options.MaxKeptConns > 0 && s.openSessions.Load() > int64(s.options.MaxKeptConns)
}

// Shutdown closes idle connections and waits for the responses to all requests in flight. If the context ends first, it
// closes the remaining connections and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	s.stopping.Store(true)
	done := make(chan struct{})
	go func() {
		s.sessionGroup.Wait()
		close(done)
	}()
	for _, open := range s.sessionList() {
		open.closeIfIdle()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		for _, open := range s.sessionList() {
			// An error is ignored: the requests are aborted in any case.
			_ = open.conn.Close()
		}
		return ctx.Err()
	}
}

func (s *Server) sessionList() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for open := range s.sessions {
		list = append(list, open)
	}
	return list
}
