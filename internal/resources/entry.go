package resources

import "time"

// Entry is a connection as the Account sees it. Its fields are guarded by the account's lock.
type Entry struct {
	class *classUsage
	// close closes the connection. It is called without the account's lock.
	close func()
	held  int64
	// running is the number of requests that the process works on without waiting for the client.
	running int
	// ranAt is the time since which running is not zero.
	ranAt time.Time
	// writing is the time at which a write began that has not returned, zero without one.
	writing time.Time
	// inRequest is set from the first byte of a request to the end of its response.
	inRequest bool
	// completed is set once the connection has carried a whole request and its response.
	completed bool
	// progressAt is the time of the last progress of the client, and moved the number of bytes since then.
	progressAt time.Time
	moved      int
	// closed is set once the connection is closed, ended once its owner has ended and it holds nothing.
	closed, ended bool
}

// stalled returns the time for which the client has made no progress although it is its turn.
func (e *Entry) stalled(now time.Time) time.Duration {
	switch {
	case !e.writing.IsZero():
		return now.Sub(later(e.writing, e.progressAt))
	case e.running > 0:
		return 0
	}
	return now.Sub(e.progressAt)
}

// expired reports whether the connection has reached the end that holds also without pressure.
func (e *Entry) expired(now time.Time) bool {
	if e.inRequest {
		return e.stalled(now) >= stallTimeout
	}
	return e.class.class.IdleTimeout > 0 && e.stalled(now) >= e.class.class.IdleTimeout
}

// rank is the order in which connections are closed to make room, the highest first.
type rank struct {
	group int
	cost  float64
}

// The groups of connections that may be closed, in rising order.
const (
	// provenGroup are the unused connections that have carried requests, newGroup those that have not.
	provenGroup = iota
	newGroup
	// stalledGroup are those within a request that wait for the client.
	stalledGroup
)

func (r rank) above(other rank) bool {
	if r.group != other.group {
		return r.group > other.group
	}
	return r.cost > other.cost
}

// rank returns the rank of the connection, false if it may not be closed.
func (e *Entry) rank(now time.Time) (rank, bool) {
	stalled := e.stalled(now)
	if e.closed || stalled < pressureStall {
		return rank{}, false
	}
	group := provenGroup
	switch {
	case e.inRequest:
		group = stalledGroup
	case !e.completed:
		group = newGroup
	}
	return rank{group, stalled.Seconds() * float64(e.held)}, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
