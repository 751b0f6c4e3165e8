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
	// grantRenewalWindow is the time before the expiry of a grant within which a call renews it.
	grantRenewalWindow = limit.GrantTTL / 4
	// directIdleTimeout is the time without a response after which the next call goes through the gate. This node may not
	// have learned yet that the backend server is draining, but its gate has.
	directIdleTimeout = 3 * time.Second
	// firstDialTimeout is the time within which the first granted connection must be opened. A grant without an open
	// connection may belong to an earlier incarnation of the backend server.
	firstDialTimeout = time.Second
	// minIdleConnections is the lower bound of the limit on idle connections to a backend server. It applies also to one
	// that has no gate or announces no number of connections.
	minIdleConnections = 8
)

// errNoGrant is returned by a dial beyond the granted number of connections.
var errNoGrant = errors.New("no granted connection is left")

// networkPath is the path of a call to its backend server.
type networkPath int

const (
	// directPath is one hop, over a granted connection.
	directPath networkPath = iota
	// viaGatePath is two hops, through the gate of the backend server.
	viaGatePath
)

// connPool holds a node's direct connections to one incarnation of a backend server, and the grant for them.
//
// Invariant: a connection is dialed only while open < granted, and a call is sent on a granted connection only if its
// deadline is not after the expiry of the grant. Neither holds for a backend server without a gate, which needs no grant.
type connPool struct {
	server    *routing.Server
	transport *http.Transport
	// tracedTransport is transport with spans.
	tracedTransport http.RoundTripper
	dial            dialFunc

	mu      sync.Mutex
	granted int
	expires time.Time
	// requestedAt is the time at which the current grant was requested.
	requestedAt time.Time
	// open is the number of open connections, directInFlight the number of calls in flight on directPath.
	open           int
	directInFlight int
	// lastAnswered is the time of the last response, on either path.
	lastAnswered time.Time
	// requesting is set while a request for a grant is in flight.
	requesting bool
	lastUsed   time.Time
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newConnPool(server *routing.Server, dial dialFunc) *connPool {
	p := &connPool{server: server, dial: dial}
	p.transport = &http.Transport{
		DialContext:         p.dialDirect,
		MaxIdleConnsPerHost: int(max(server.Info.Connections, minIdleConnections)),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	p.tracedTransport = tracing.Transport(p.transport)
	return p
}

// hasGate reports whether the backend server has a node, and so a gate.
func (p *connPool) hasGate() bool {
	return p.server.Info.NodeControlAddr != ""
}

// choosePath chooses the path of a call. A call on directPath must be ended with endDirect.
func (p *connPool) choosePath(deadline, now time.Time) networkPath {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
	if !p.hasGate() {
		return directPath
	}
	if p.directInFlight >= p.granted || deadline.After(p.expires) || now.Sub(p.lastAnswered) > directIdleTimeout {
		return viaGatePath
	}
	if p.open == 0 && now.Sub(p.requestedAt) > firstDialTimeout {
		return viaGatePath
	}
	if p.expires.Sub(now) < grantRenewalWindow && !p.requesting {
		return viaGatePath
	}
	p.directInFlight++
	return directPath
}

// endDirect ends a call on directPath. If more connections are open than granted, idle ones are closed.
func (p *connPool) endDirect(answered bool, now time.Time) {
	if !p.hasGate() {
		return
	}
	p.mu.Lock()
	p.directInFlight--
	if answered {
		p.lastAnswered = now
	}
	excess := p.open > p.maxOpen(now)
	p.mu.Unlock()
	if excess {
		p.transport.CloseIdleConnections()
	}
}

// maxOpen returns the number of connections that may be open. mu must be held.
func (p *connPool) maxOpen(now time.Time) int {
	if now.After(p.expires) {
		return 0
	}
	return p.granted
}

// beginGrantRequest returns the request for a grant that is sent to the gate. It must be ended with endGrantRequest.
func (p *connPool) beginGrantRequest(node string, now time.Time) grantRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requesting = true
	held := 0
	if now.Before(p.expires) {
		held = p.granted
	}
	return grantRequest{node: node, held: held, want: max(p.server.Load.InFlight(), 1)}
}

// endGrantRequest ends a request for a grant that was made at requestedAt. Without a response, the current grant stays.
func (p *connPool) endGrantRequest(answered bool, count int, requestedAt, now time.Time) {
	p.mu.Lock()
	p.requesting = false
	if answered {
		p.lastAnswered = now
		p.applyGrant(count, requestedAt)
	}
	excess := p.open > p.maxOpen(now)
	p.mu.Unlock()
	if excess {
		p.transport.CloseIdleConnections()
	}
}

// applyGrant replaces the current grant. mu must be held. A grant of fewer connections than are open is not applied:
// the current one stays until it expires.
func (p *connPool) applyGrant(count int, requestedAt time.Time) {
	if count == 0 || count < p.open {
		return
	}
	p.granted = count
	p.requestedAt = requestedAt
	p.expires = requestedAt.Add(limit.GrantTTL)
}

// dropGrant ends the grant, because a connection broke or another backend server responded: the one that the grant was
// for may have stopped.
func (p *connPool) dropGrant() {
	p.mu.Lock()
	p.granted = 0
	p.expires = time.Time{}
	p.mu.Unlock()
	p.transport.CloseIdleConnections()
}

// dialDirect opens a connection if the grant permits another one.
func (p *connPool) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	if !p.reserve(time.Now()) {
		return nil, errNoGrant
	}
	opened, err := p.dial(ctx, network, address)
	if err != nil {
		p.release()
		return nil, err
	}
	return &countingConn{Conn: opened, onClose: p.release, onReadError: p.dropGrant}, nil
}

func (p *connPool) reserve(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasGate() && p.open >= p.maxOpen(now) {
		return false
	}
	p.open++
	return true
}

func (p *connPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// idleSince reports whether the pool has not been used since the given time.
func (p *connPool) idleSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directInFlight == 0 && !p.requesting && p.lastUsed.Before(since)
}
