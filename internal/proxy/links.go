package proxy

import (
	"sync"
	"time"

	"samphireflow/internal/routing"
)

const (
	// linkMemory is the time after which an unused link is forgotten.
	linkMemory = 2 * time.Minute
	// linkSweep is the time between looks for unused links.
	linkSweep = 30 * time.Second
)

// linkKey names one start of a backend server at one address.
type linkKey struct {
	instance    string
	incarnation uint64
	addr        string
}

// links holds the link of each backend server that calls were sent to.
type links struct {
	dial dialFunc
	// byServer maps linkKey to *link.
	byServer sync.Map
	mu       sync.Mutex
	swept    time.Time
}

func newLinks(dial dialFunc) *links {
	return &links{dial: dial}
}

func (s *links) get(server *routing.Server, now time.Time) *link {
	key := linkKey{server.Info.Instance, server.Info.Incarnation, server.Info.Addr}
	if found, ok := s.byServer.Load(key); ok {
		return found.(*link)
	}
	s.sweep(now)
	found, _ := s.byServer.LoadOrStore(key, newLink(server, s.dial))
	return found.(*link)
}

// sweep forgets unused links, so that starts of long ago do not pile up.
func (s *links) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.swept) < linkSweep {
		return
	}
	s.swept = now
	s.byServer.Range(func(key, value any) bool {
		if l := value.(*link); l.idle(now.Add(-linkMemory)) {
			s.byServer.Delete(key)
			l.transport.CloseIdleConnections()
		}
		return true
	})
}

// closeIdle closes the connections that no call uses.
func (s *links) closeIdle() {
	s.byServer.Range(func(_, value any) bool {
		value.(*link).transport.CloseIdleConnections()
		return true
	})
}
