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
	// maxEntries bounds the number of remembered requests.
	maxEntries = 4096
)

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

// crashReport says that a request was in flight when a backend server crashed.
type crashReport struct {
	key
	long    longKey
	process ServerProcess
	version string
	// ranBefore is set if the request is known to have completed at the version before.
	ranBefore bool
	// run is when the run began and ended, if it was a run of this node.
	run Run
	// generation is that of a run of another node; see crash.
	generation uint32
}

// Run describes an attempt that broke off.
type Run struct {
	Began, Ended time.Time
	// Earlier is the number of attempts of the same call that had broken off before. Their reports may come later.
	Earlier int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[key]*entry{}}
}

// Empty reports whether no request is suspect.
func (s *Store) Empty() bool {
	return s.size.Load() == 0
}

// RecordCrash records that a request was in flight when a backend server crashed. It returns the generation of the run, and reports
// whether the crash was not known before: one that several nodes report counts once.
func (s *Store) RecordCrash(report crashReport, now time.Time) (generation uint32, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.activeEntry(report.key, now)
	e.long = report.long
	if report.ranBefore {
		e.markCompleted(report.version)
	}
	c := crash{process: report.process, version: report.version, generation: report.generation, recorded: now}
	if !report.run.Began.IsZero() {
		// A retry may begin before the report of the attempt before it.
		c.generation, c.recorded = e.generationOf(report.version, report.run), report.run.Ended
	}
	return c.generation, e.addCrash(c, now)
}

// RecordCompletion records that a suspect request has completed at a version of the service. It reports whether other nodes
// have to know of that.
func (s *Store) RecordCompletion(k key, version string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[k]
	return e != nil && now.Sub(e.lastCrash) < TTL && e.complete(version)
}

// Blocked reports whether a request must be refused at a version of the service.
func (s *Store) Blocked(k key, version string, now time.Time) bool {
	if s.Empty() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[k]
	return e != nil && now.Sub(e.lastCrash) < TTL && e.blocked(version)
}

// HoldLimit returns how much of a long body must be read to tell whether the request is blocked, 0 if it is not blocked
// whatever its body holds.
func (s *Store) HoldLimit(service string, long longKey, now time.Time) int64 {
	if s.Empty() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := int64(0)
	for k, e := range s.entries {
		matches := k.service == service && e.long.bytes > 0 && e.long.head == long.head && (long.bytes < 0 || long.bytes == e.long.bytes)
		if matches && now.Sub(e.lastCrash) < TTL && e.blockedAnywhere() {
			// One more byte tells a longer body from this one.
			limit = max(limit, e.long.bytes+1)
		}
	}
	return limit
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
			Service: k.service, Fingerprint: uint64(k.fingerprint), CompletedVersions: append([]string(nil), e.completed...),
			AgeMs: uint64(max(now.Sub(e.lastCrash), 0).Milliseconds()), HeadFingerprint: uint64(e.long.head), BodyBytes: e.long.bytes,
		}
		for _, c := range e.crashes {
			known.Crashes = append(known.Crashes, &apiv1.KnownCrash{
				Instance: c.process.Instance, Incarnation: c.process.Incarnation, Version: c.version, Cleared: c.cleared, Generation: c.generation,
			})
		}
		list = append(list, known)
	}
	return list
}

// Merge adds what another node has listed.
func (s *Store) Merge(list []*apiv1.KnownSuspect, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range list {
		age := time.Duration(min(known.AgeMs, uint64(TTL.Milliseconds()))) * time.Millisecond
		if age >= TTL || len(known.Crashes) == 0 {
			continue
		}
		at := now.Add(-age)
		e := s.activeEntry(key{known.Service, Fingerprint(known.Fingerprint)}, at)
		e.long = longKey{Fingerprint(known.HeadFingerprint), known.BodyBytes}
		for _, version := range known.CompletedVersions {
			e.markCompleted(version)
		}
		for _, c := range known.Crashes {
			e.addCrash(crash{
				process: ServerProcess{c.Instance, c.Incarnation}, version: c.Version, cleared: c.Cleared, generation: c.Generation, recorded: at,
			}, at)
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
		s.evict()
	}
	e := &entry{lastCrash: now}
	s.entries[k] = e
	s.size.Store(int64(len(s.entries)))
	return e
}

// evict deletes the entry whose last crash is oldest, a blocked one only if all are: callers that send ever new bodies beside a
// request that crashes must not unblock it.
func (s *Store) evict() {
	var oldest key
	var last time.Time
	oldestBlocked := true
	for k, e := range s.entries {
		blocked := e.blockedAnywhere()
		if last.IsZero() || oldestBlocked && !blocked || blocked == oldestBlocked && e.lastCrash.Before(last) {
			oldest, last, oldestBlocked = k, e.lastCrash, blocked
		}
	}
	delete(s.entries, oldest)
}
