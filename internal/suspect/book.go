package suspect

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Memory is the time for which a suspect is remembered after the last death, and for which it is refused.
	Memory = 10 * time.Minute
	// condemningDeaths is the number of deaths after which a request is refused.
	condemningDeaths = 2
	// maxSuspects bounds the requests that are remembered; the oldest is forgotten first.
	maxSuspects = 4096
)

// Start names one start of a backend server.
type Start struct {
	Instance    string
	Incarnation uint64
}

// entry is what is known about one request.
type entry struct {
	deaths  []Start
	cleared bool
	last    time.Time
}

// Book remembers the requests that were in flight when backend servers died. It is safe for use by many goroutines.
type Book struct {
	size    atomic.Int64
	mu      sync.Mutex
	entries map[key]*entry
}

// key keeps the requests of different services apart.
type key struct {
	service     string
	fingerprint Fingerprint
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{entries: map[key]*entry{}}
}

// Empty reports whether no request is suspect.
func (b *Book) Empty() bool {
	return b.size.Load() == 0
}

// Died records that a request was in flight when a backend server died. It reports whether that is news. The same
// death, told by several nodes, counts once.
func (b *Book) Died(service string, fingerprint Fingerprint, start Start, now time.Time) bool {
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

// Completed records that a suspect request has completed, so that it did not crash its backend server. It reports
// whether that is news.
func (b *Book) Completed(service string, fingerprint Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[key{service, fingerprint}]
	if e == nil || e.cleared || now.Sub(e.last) >= Memory {
		return false
	}
	e.cleared = true
	return true
}

// Condemned reports whether a request is to be refused.
func (b *Book) Condemned(service string, fingerprint Fingerprint, now time.Time) bool {
	if b.Empty() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[key{service, fingerprint}]
	return e != nil && !e.cleared && len(e.deaths) >= condemningDeaths && now.Sub(e.last) < Memory
}

// Sweep forgets what is too old.
func (b *Book) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, e := range b.entries {
		if now.Sub(e.last) >= Memory {
			delete(b.entries, k)
		}
	}
	b.size.Store(int64(len(b.entries)))
}

// entry returns the record of a request, a new one when there is none that counts.
func (b *Book) entry(k key, now time.Time) *entry {
	if e := b.entries[k]; e != nil && now.Sub(e.last) < Memory {
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

func (b *Book) forgetOldest() {
	var oldest key
	var last time.Time
	for k, e := range b.entries {
		if last.IsZero() || e.last.Before(last) {
			oldest, last = k, e.last
		}
	}
	delete(b.entries, oldest)
}
