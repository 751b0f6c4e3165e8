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

// Options are what a server is made of.
type Options struct {
	Handler http.Handler
	// MayPipeline reports whether a request may be worked on before those that came before it on its connection have been
	// answered. A request whose effect the caller must not ask for twice has to wait, because an answer before it may
	// close the connection.
	MayPipeline func(r *http.Request) bool
	// MaxHeaderBytes bounds the header of a request, HeaderTime the time in which it must arrive, and IdleTime the time
	// that a connection is kept without a request.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    func() time.Duration
	Logger         zerolog.Logger
	// MaxKeptConns is the number of connections beyond which answers close theirs; 0 for no bound.
	MaxKeptConns int
}

// Server serves the connections of a listener.
type Server struct {
	options Options
	// closing makes answers the last on their connections; stopping ends idle connections too.
	closing  atomic.Bool
	stopping atomic.Bool

	mu       sync.Mutex
	sessions map[*session]struct{}
	ended    sync.WaitGroup
	// open is the number of sessions.
	open atomic.Int64
}

// NewServer returns a server without connections.
func NewServer(options Options) *Server {
	return &Server{options: options, sessions: map[*session]struct{}{}}
}

// Serve takes connections until the listener is closed. Then it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		inner, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if !passing(err) {
				return err
			}
			s.options.Logger.Warn().Err(err).Int("connections", len(s.list())).Msg("a connection could not be taken")
			time.Sleep(acceptPause)
			continue
		}
		one := newSession(s, newConn(inner))
		s.mu.Lock()
		s.sessions[one] = struct{}{}
		s.mu.Unlock()
		s.ended.Add(1)
		s.open.Add(1)
		go func() {
			defer s.ended.Done()
			one.run()
			s.mu.Lock()
			delete(s.sessions, one)
			s.mu.Unlock()
			s.open.Add(-1)
		}()
	}
}

// acceptPause is the time after which a listener that has run out of descriptors tries again.
const acceptPause = 10 * time.Millisecond

// passing reports whether an error of a listener may pass: the process is short of descriptors or memory for a moment, or
// the connection that waited has gone.
func passing(err error) bool {
	for _, one := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, os.ErrDeadlineExceeded} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// CloseAfterResponses makes the next answer on each connection its last one. Requests behind it have not been read as far
// as the caller is concerned.
func (s *Server) CloseAfterResponses() {
	s.closing.Store(true)
}

// closesNext reports whether the next answer on a connection is to be its last one.
func (s *Server) closesNext() bool {
	return s.closing.Load() || s.options.MaxKeptConns > 0 && s.open.Load() > int64(s.options.MaxKeptConns)
}

// Shutdown closes idle connections and waits until the requests in flight are answered, or the context ends; then it
// breaks the rest off and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	s.stopping.Store(true)
	done := make(chan struct{})
	go func() {
		s.ended.Wait()
		close(done)
	}()
	for _, one := range s.list() {
		one.wakeIdle()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		for _, one := range s.list() {
			// The connection is broken off on purpose.
			_ = one.conn.Close()
		}
		return ctx.Err()
	}
}

func (s *Server) list() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for one := range s.sessions {
		list = append(list, one)
	}
	return list
}
