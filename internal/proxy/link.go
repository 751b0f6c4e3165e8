package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/limit"
	"samphireflow/internal/routing"
	"samphireflow/internal/tracing"
)

const (
	// grantRenewal is the time before the end of a grant in which a call renews it.
	grantRenewal = limit.GrantTTL / 4
	// directIdle is the time without an answer after which a call goes through the gate first: the backend server may
	// have left without this node having heard of it.
	directIdle = 3 * time.Second
	// firstDial is the time within which the first of the granted connections must be opened. A grant without an open
	// connection may belong to an earlier start of the backend server.
	firstDial = time.Second
	// ungatedConnections is the number of connections to a backend server that no node stands beside.
	ungatedConnections = 8
)

// errNoConnection is returned by a dial beyond the grant.
var errNoConnection = errors.New("no connection is granted")

// way is how a call reaches its backend server.
type way int

const (
	// wayDirect is one hop over a granted connection.
	wayDirect way = iota
	// wayGate is two hops, through the node beside the backend server.
	wayGate
)

// link is what a node keeps of its connections to one start of a backend server.
//
// Invariant: open <= granted whenever a connection is dialled, and no call is sent on a granted connection whose
// deadline lies beyond the end of the grant.
type link struct {
	server    *routing.Server
	transport *http.Transport
	// traced is the transport with spans.
	traced http.RoundTripper
	dial   dialFunc

	mu      sync.Mutex
	granted int
	expires time.Time
	// since is the time of the request that brought the grant.
	since    time.Time
	open     int
	busy     int
	answered time.Time
	asking   bool
	used     time.Time
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newLink(server *routing.Server, dial dialFunc) *link {
	l := &link{server: server, dial: dial}
	l.transport = &http.Transport{
		DialContext:         l.dialDirect,
		MaxIdleConnsPerHost: int(max(server.Info.Connections, ungatedConnections)),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	l.traced = tracing.Transport(l.transport)
	return l
}

// gated reports whether a node stands beside the backend server.
func (l *link) gated() bool {
	return l.server.Info.NodeControlAddr != ""
}

// choose says how a call goes. A call that goes directly must be ended with leaveDirect.
func (l *link) choose(deadline, now time.Time) way {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = now
	if !l.gated() {
		return wayDirect
	}
	if l.busy >= l.granted || deadline.After(l.expires) || now.Sub(l.answered) > directIdle {
		return wayGate
	}
	if l.open == 0 && now.Sub(l.since) > firstDial {
		return wayGate
	}
	if l.expires.Sub(now) < grantRenewal && !l.asking {
		return wayGate
	}
	l.busy++
	return wayDirect
}

// leaveDirect ends a call that went directly. Connections beyond the grant are closed once they are idle.
func (l *link) leaveDirect(answered bool, now time.Time) {
	if !l.gated() {
		return
	}
	l.mu.Lock()
	l.busy--
	if answered {
		l.answered = now
	}
	excess := l.open > l.allowed(now)
	l.mu.Unlock()
	if excess {
		l.transport.CloseIdleConnections()
	}
}

// allowed is the number of connections that may be open; guarded by mu.
func (l *link) allowed(now time.Time) int {
	if now.After(l.expires) {
		return 0
	}
	return l.granted
}

// ask describes what this node asks of the gate.
func (l *link) ask(node string, now time.Time) grantAsk {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asking = true
	held := 0
	if now.Before(l.expires) {
		held = l.granted
	}
	return grantAsk{node: node, held: held, want: max(l.server.Load.InFlight(), 1)}
}

// asked ends an ask that was made at the time given. Without an answer the grant in force stays.
func (l *link) asked(answered bool, count int, since, now time.Time) {
	l.mu.Lock()
	l.asking = false
	if answered {
		l.answered = now
		l.take(count, since)
	}
	excess := l.open > l.allowed(now)
	l.mu.Unlock()
	if excess {
		l.transport.CloseIdleConnections()
	}
}

// take puts a grant in force; guarded by mu. A smaller one may only be followed once fewer connections are open, so the
// grant in force lasts until it ends.
func (l *link) take(count int, since time.Time) {
	if count == 0 || count < l.open {
		return
	}
	l.granted = count
	l.since = since
	l.expires = since.Add(limit.GrantTTL)
}

// void ends the grant: a connection broke, so the backend server that it was for may be gone.
func (l *link) void() {
	l.mu.Lock()
	l.granted = 0
	l.expires = time.Time{}
	l.mu.Unlock()
	l.transport.CloseIdleConnections()
}

// dialDirect opens a connection within the grant.
func (l *link) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	if !l.reserve(time.Now()) {
		return nil, errNoConnection
	}
	opened, err := l.dial(ctx, network, address)
	if err != nil {
		l.release()
		return nil, err
	}
	return &conn{Conn: opened, closed: l.release, broke: l.void}, nil
}

func (l *link) reserve(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gated() && l.open >= l.allowed(now) {
		return false
	}
	l.open++
	return true
}

func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// idle reports whether the link has been out of use since a time.
func (l *link) idle(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.busy == 0 && !l.asking && l.used.Before(since)
}
