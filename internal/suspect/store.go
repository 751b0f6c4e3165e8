package suspect

import (
	"sync"
	"sync/atomic"
	"time"

	apiv1 "samphireflow/api/v1"
)

const (
	// TTL is the time for which a suspect request is remembered, and refused if it is blocked. It counts from the last crash.
	TTL = 10 * time.Minute
	// blockingCrashes is the number of crashes after which a request is refused.
	blockingCrashes = 2
	// maxEntries bounds the number of remembered requests. The one whose last crash is oldest is evicted first.
	maxEntries = 4096
)

// ServerProcess identifies one incarnation of a backend server.
type ServerProcess struct {
	Instance    string
	Incarnation uint64
}

// entry describes one suspect request.
type entry struct {
	// crashes holds the processes that crashed, at most blockingCrashes of them.
	crashes   []ServerProcess
	cleared   bool
	lastCrash time.Time
}

// Store remembers the requests that were in flight when backend servers crashed. It is safe for concurrent use.
type Store struct {
	// size is the number of entries. It is atomic so that Empty needs no lock.
	size    atomic.Int64
	mu      sync.Mutex
	entries map[key]*entry
}

// key identifies a request of a service.
type key struct {
	service     string
	fingerprint Fingerprint
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[key]*entry{}}
}

// Empty reports whether no request is suspect.
func (s *Store) Empty() bool {
	return s.size.Load() == 0
}

// RecordCrash records that a request was in flight when a backend server crashed. It reports whether that was not known
// before: a crash that several nodes report counts once.
func (s *Store) RecordCrash(service string, fingerprint Fingerprint, process ServerProcess, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.activeEntry(key{service, fingerprint}, now)
	for _, known := range e.crashes {
		if known == process {
			return false
		}
	}
	if len(e.crashes) < blockingCrashes {
		e.crashes = append(e.crashes, process)
	}
	if now.After(e.lastCrash) {
		e.lastCrash = now
	}
	return true
}

// RecordCompletion clears a suspect request, because it has completed without a crash of its backend server. It reports
// whether the request was suspect and not cleared before.
func (s *Store) RecordCompletion(service string, fingerprint Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key{service, fingerprint}]
	if e == nil || e.cleared || now.Sub(e.lastCrash) >= TTL {
		return false
	}
	e.cleared = true
	return true
}

// Blocked reports whether a request must be refused.
func (s *Store) Blocked(service string, fingerprint Fingerprint, now time.Time) bool {
	if s.Empty() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key{service, fingerprint}]
	return e != nil && !e.cleared && len(e.crashes) >= blockingCrashes && now.Sub(e.lastCrash) < TTL
}

// List lists the requests that are remembered.
func (s *Store) List(now time.Time) []*apiv1.KnownSuspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*apiv1.KnownSuspect
	for k, e := range s.entries {
		if now.Sub(e.lastCrash) >= TTL {
			continue
		}
		known := &apiv1.KnownSuspect{
			Service: k.service, Fingerprint: uint64(k.fingerprint), Cleared: e.cleared, AgeMs: uint64(max(now.Sub(e.lastCrash), 0).Milliseconds()),
		}
		for _, process := range e.crashes {
			known.Deaths = append(known.Deaths, &apiv1.ProbeServerRequest{Instance: process.Instance, Incarnation: process.Incarnation})
		}
		list = append(list, known)
	}
	return list
}

// Merge adds what another node has listed.
func (s *Store) Merge(list []*apiv1.KnownSuspect, now time.Time) {
	for _, known := range list {
		age := time.Duration(min(known.AgeMs, uint64(TTL.Milliseconds()))) * time.Millisecond
		if age >= TTL {
			continue
		}
		for _, death := range known.Deaths {
			s.RecordCrash(known.Service, Fingerprint(known.Fingerprint), ServerProcess{death.Instance, death.Incarnation}, now.Add(-age))
		}
		if known.Cleared {
			s.RecordCompletion(known.Service, Fingerprint(known.Fingerprint), now)
		}
	}
}

// DeleteExpired deletes the requests whose last crash is at least TTL ago.
func (s *Store) DeleteExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.entries {
		if now.Sub(e.lastCrash) >= TTL {
			delete(s.entries, k)
		}
	}
	s.size.Store(int64(len(s.entries)))
}

// activeEntry returns the entry of a request. It makes a new one if there is none or if it has expired.
func (s *Store) activeEntry(k key, now time.Time) *entry {
	if e := s.entries[k]; e != nil && now.Sub(e.lastCrash) < TTL {
		return e
	}
	if len(s.entries) >= maxEntries {
		s.evictOldest()
	}
	e := &entry{lastCrash: now}
	s.entries[k] = e
	s.size.Store(int64(len(s.entries)))
	return e
}

func (s *Store) evictOldest() {
	var oldest key
	var last time.Time
	for k, e := range s.entries {
		if last.IsZero() || e.lastCrash.Before(last) {
			oldest, last = k, e.lastCrash
		}
	}
	delete(s.entries, oldest)
}
