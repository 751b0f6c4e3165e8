package suspect

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// TTL is the time for which a suspect is remembered after the last death, and for which it is refused.
	TTL = 10 * time.Minute
	// condemningDeaths is the number of deaths after which a request is refused.
	condemningDeaths = 2
	// maxSuspects bounds the requests that are remembered; the oldest is forgotten first.
	maxSuspects = 4096
)

// ServerProcess names one start of a backend server.
type ServerProcess struct {
	Instance    string
	Incarnation uint64
}

// entry is what is known about one request.
type entry struct {
	deaths  []ServerProcess
	cleared bool
	last    time.Time
}

// Store remembers the requests that were in flight when backend servers died. It is safe for use by many goroutines.
type Store struct {
	size    atomic.Int64
	mu      sync.Mutex
	entries map[key]*entry
}

// key keeps the requests of different services apart.
type key struct {
	service     string
	fingerprint Fingerprint
}

// NewStore returns an empty book.
func NewStore() *Store {
	return &Store{entries: map[key]*entry{}}
}

// Empty reports whether no request is suspect.
func (b *Store) Empty() bool {
	return b.size.Load() == 0
}

// RecordCrash records that a request was in flight when a backend server died. It reports whether that is news. The same
// death, told by several nodes, counts once.
func (b *Store) RecordCrash(service string, fingerprint Fingerprint, start ServerProcess, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(key{service, fingerprint}, now)
	for _, known := range e.deaths {
		if known == start {
			return false
		}
	}
	if len(e.deaths) < condemningDeaths {
		e.deaths = append(e.deaths, start)
	}
	e.last = now
	return true
}

// RecordCompletion records that a suspect request has completed, so that it did not crash its backend server. It reports
// whether that is news.
func (b *Store) RecordCompletion(service string, fingerprint Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[key{service, fingerprint}]
	if e == nil || e.cleared || now.Sub(e.last) >= TTL {
		return false
	}
	e.cleared = true
	return true
}

// Blocked reports whether a request is to be refused.
func (b *Store) Blocked(service string, fingerprint Fingerprint, now time.Time) bool {
	if b.Empty() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[key{service, fingerprint}]
	return e != nil && !e.cleared && len(e.deaths) >= condemningDeaths && now.Sub(e.last) < TTL
}

// DeleteExpired forgets what is too old.
func (b *Store) DeleteExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, e := range b.entries {
		if now.Sub(e.last) >= TTL {
			delete(b.entries, k)
		}
	}
	b.size.Store(int64(len(b.entries)))
}

// entry returns the record of a request, a new one when there is none that counts.
func (b *Store) entry(k key, now time.Time) *entry {
	if e := b.entries[k]; e != nil && now.Sub(e.last) < TTL {
		return e
	}
	if len(b.entries) >= maxSuspects {
		b.forgetOldest()
	}
	e := &entry{last: now}
	b.entries[k] = e
	b.size.Store(int64(len(b.entries)))
	return e
}

func (b *Store) forgetOldest() {
	var oldest key
	var last time.Time
	for k, e := range b.entries {
		if last.IsZero() || e.last.Before(last) {
			oldest, last = k, e.last
		}
	}
	delete(b.entries, oldest)
}
