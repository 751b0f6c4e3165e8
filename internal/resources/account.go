package resources

import (
	"sync"
	"time"
)

// classUsage is what the connections of one class hold.
type classUsage struct {
	class Class
	conns int
	held  int64
	// ending is the part of held that belongs to connections that were closed and whose owners have not ended yet.
	ending  int64
	refused Refusals
}

// Refusals counts what was refused or closed for want of room or for a lack of progress.
type Refusals struct {
	// Connections were refused, Requests got no memory, Displaced connections were closed to make room, Stalled ones for
	// their lack of progress. Unbuffered is the number of times that there was no memory to buffer a response, which was then
	// passed on as it was read.
	Connections, Requests, Displaced, Stalled, Unbuffered int
}

// Account keeps the account of all connections of a process. It is safe for concurrent use.
//
// Load pattern: crowds of clients that open connections and stop half-way in a request or in the reading of a response, move a
// byte at a time, or make the process hold much for little that they send. Each single one is legal. When there is no room, the
// clients that hold most for longest without progress lose their connections first; a client that waits for its response
// keeps it, however long that takes. Each class of listeners has a share that the other classes cannot take, and a part of the
// memory is kept for connections that hold little.
//
// Invariant: what a connection holds counts until its owner has ended, also if it was closed before. Otherwise crowds that come
// again at once would be given the memory of those before them while these still use it.
type Account struct {
	limits Limits

	mu      sync.Mutex
	classes []*classUsage
	entries map[*Entry]struct{}
}

// NewAccount returns an account. The classes are those of the listeners that the process has.
func NewAccount(limits Limits, classes ...Class) *Account {
	a := &Account{limits: limits, entries: map[*Entry]struct{}{}}
	for _, class := range classes {
		a.classes = append(a.classes, &classUsage{class: class})
	}
	return a
}

// Open adds a connection, or returns nil if there is no room for it. The connections to be closed first are returned.
func (a *Account) Open(class string, closeConn func(), now time.Time) (*Entry, []*Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.class(class)
	var victims []*Entry
	for !a.hasDescriptor(c) || !a.hasMemory(c, connCost, connCost, c.ending) {
		victim := a.pick(c, now)
		if victim == nil {
			c.refused.Connections++
			return nil, victims
		}
		c.refused.Displaced++
		victims = append(victims, victim)
	}
	if !a.hasMemory(c, connCost, connCost, a.lent(c)) {
		c.refused.Connections++
		return nil, victims
	}
	e := &Entry{class: c, close: closeConn, held: connCost, progressAt: now}
	a.entries[e] = struct{}{}
	c.conns++
	c.held += connCost
	return e, victims
}

// Hold adds bytes to what a connection holds. It reports false if there is no memory for them: then nothing is added. The
// connections to be closed are returned.
func (a *Account) Hold(e *Entry, bytes int64, now time.Time) (bool, []*Entry) {
	return a.hold(e, bytes, now, func(r *Refusals) { r.Requests++ })
}

// HoldBuffer is Hold for a response that is passed on as it is read if there is no memory to buffer it.
func (a *Account) HoldBuffer(e *Entry, bytes int64, now time.Time) (bool, []*Entry) {
	return a.hold(e, bytes, now, func(r *Refusals) { r.Unbuffered++ })
}

func (a *Account) hold(e *Entry, bytes int64, now time.Time, refuse func(*Refusals)) (bool, []*Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.closed {
		if bytes < 0 && !e.ended {
			e.class.held += bytes
			e.class.ending += bytes
			e.held += bytes
		}
		return false, nil
	}
	var victims []*Entry
	for bytes > 0 && !a.hasMemory(e.class, e.held+bytes, bytes, e.class.ending) {
		victim := a.pick(e.class, now)
		if victim == nil {
			refuse(&e.class.refused)
			return false, victims
		}
		e.class.refused.Displaced++
		victims = append(victims, victim)
		if victim == e {
			return false, victims
		}
	}
	if bytes > 0 && !a.hasMemory(e.class, e.held+bytes, bytes, a.lent(e.class)) {
		refuse(&e.class.refused)
		return false, victims
	}
	e.held += bytes
	e.class.held += bytes
	return true, victims
}

// Shut records that a connection is closed. What it holds still counts.
func (a *Account) Shut(e *Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(e)
}

// Close removes a connection and all that it holds: its owner has ended.
func (a *Account) Close(e *Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.ended {
		return
	}
	a.remove(e)
	e.ended = true
	e.class.held -= e.held
	e.class.ending -= e.held
	e.held = 0
}

// Sweep returns the connections that have reached their end, which are to be closed.
func (a *Account) Sweep(now time.Time) []*Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ended []*Entry
	for e := range a.entries {
		if e.expired(now) {
			if e.inRequest {
				e.class.refused.Stalled++
			}
			a.remove(e)
			ended = append(ended, e)
		}
	}
	return ended
}

// DisplaceStalled closes a connection whose client has made no progress for as long as it takes to be closed for others. It
// reports whether it did.
func (a *Account) DisplaceStalled(e *Entry, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.closed || !e.inRequest || e.stalled(now) < pressureStall {
		return false
	}
	e.class.refused.Displaced++
	a.remove(e)
	return true
}

// Begin records that a request begins, if none is in progress.
func (a *Account) Begin(e *Entry, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !e.inRequest {
		e.inRequest = true
		e.moved, e.progressAt = 0, now
	}
}

// Moved records bytes that the client has sent or received.
func (a *Account) Moved(e *Entry, bytes int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.moved += bytes
	if e.moved >= progressBytes {
		e.moved, e.progressAt = 0, now
	}
}

// Run records that the process works on a request, or with a negative number that it has ended or waits for the client.
func (a *Account) Run(e *Entry, requests int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := e.running
	e.running += requests
	switch {
	case before == 0:
		e.ranAt = now
	case e.running == 0:
		// The time in which the process worked is not the client's.
		e.progressAt = e.progressAt.Add(now.Sub(e.ranAt))
	}
}

// Idle records that all requests of the connection are complete.
func (a *Account) Idle(e *Entry, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.completed = e.completed || e.inRequest
	e.inRequest = false
	e.moved, e.progressAt = 0, now
}

// Writing records that a write to the client begins or, with false, that it has returned.
func (a *Account) Writing(e *Entry, begins bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.writing = time.Time{}
	if begins {
		e.writing = now
	}
}

// ClassStatus is what one class holds and has refused.
type ClassStatus struct {
	Class    string
	Conns    int
	Held     int64
	Refusals Refusals
}

// Status returns what each class holds.
func (a *Account) Status() []ClassStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []ClassStatus
	for _, c := range a.classes {
		list = append(list, ClassStatus{c.class.Name, c.conns, c.held, c.refused})
	}
	return list
}

func (a *Account) class(name string) *classUsage {
	for _, c := range a.classes {
		if c.class.Name == name {
			return c
		}
	}
	c := &classUsage{class: Class{Name: name}}
	a.classes = append(a.classes, c)
	return c
}

// hasDescriptor reports whether a class may have another connection.
func (a *Account) hasDescriptor(c *classUsage) bool {
	used := 1.0
	for _, other := range a.classes {
		kept := 0.0
		if other != c {
			kept = other.class.Share * float64(a.limits.Descriptors)
		}
		used += max(float64(other.conns), kept)
	}
	return used <= float64(a.limits.Descriptors)
}

// lent returns the part of what closed connections of a class hold that may be given to others before it is given back.
func (a *Account) lent(c *classUsage) int64 {
	return min(c.ending, int64(lentShare*float64(a.limits.Memory)))
}

// hasMemory reports whether a class may hold further bytes for a connection that then holds the given number in all. What is
// returned does not count to what the class holds.
func (a *Account) hasMemory(c *classUsage, held, bytes, returned int64) bool {
	available := float64(a.limits.Memory)
	for _, other := range a.classes {
		if other != c {
			available -= max(float64(other.held), other.class.Share*float64(a.limits.Memory))
		}
	}
	if held > smallBytes {
		available *= 1 - smallShare
	}
	return float64(c.held-returned+bytes) <= available
}

// pick removes the connection of a class that is closed first, and returns it; nil if none may be closed.
func (a *Account) pick(c *classUsage, now time.Time) *Entry {
	var victim *Entry
	var highest rank
	for e := range a.entries {
		if e.class != c {
			continue
		}
		if r, may := e.rank(now); may && (victim == nil || r.above(highest)) {
			victim, highest = e, r
		}
	}
	if victim != nil {
		a.remove(victim)
	}
	return victim
}

func (a *Account) remove(e *Entry) {
	if e.closed {
		return
	}
	e.closed = true
	delete(a.entries, e)
	e.class.conns--
	e.class.ending += e.held
}
