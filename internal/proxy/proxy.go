package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphireflow/internal/limit"
	"samphireflow/internal/move/local"
	"samphireflow/internal/netfault"
	"samphireflow/internal/routing"
	"samphireflow/internal/tracing"
)

const (
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// idleGateConnections is the maximum number of idle connections that a node keeps to another node.
	idleGateConnections = 4
	// maxResponseBytes is the length of the longest response body that is forwarded.
	maxResponseBytes = 8 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 256 << 10
)

// Proxy forwards calls to backend servers according to the newest routing table.
type Proxy struct {
	options Options
	now     func() time.Time
	pools   *connPools
	// gateTransport connects to the gates of other nodes; tracedGateTransport also records spans.
	gateTransport       *http.Transport
	tracedGateTransport http.RoundTripper
	states              routeStates
	queues              queues
	rates               *limit.RateLimiters
	sender              *sender
	// breakers limit the share of a move's new version when it fails more often on this node than the old one.
	breakers *local.Breakers
	// draining is set when the node is about to stop: responses then close their connections.
	draining atomic.Bool
	// ejectMu makes it atomic to check how many backend servers are ejected and to eject another one.
	ejectMu sync.Mutex
}

// New returns a proxy. It reads the routing table again for each call.
func New(options Options) *Proxy {
	if options.Now == nil {
		options.Now = time.Now
	}
	dial := netfault.Dialer(dialTimeout)
	p := &Proxy{
		options:  options,
		now:      options.Now,
		pools:    newConnPools(dial),
		rates:    limit.NewRateLimiters(),
		sender:   newSender(options.Instance),
		breakers: local.NewBreakers(),
	}
	p.gateTransport = &http.Transport{
		DialContext:         countingDialer(dial),
		MaxIdleConnsPerHost: idleGateConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	p.tracedGateTransport = tracing.Transport(p.gateTransport)
	return p
}

// countingDialer wraps the connections of a dialer, so that an attempt can tell whether any of its bytes were sent.
func countingDialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: opened, onClose: func() {}, onReadError: func() {}}, nil
	}
}

// ServeHTTP serves one call.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c, refused := p.admitted(r)
	if refused != nil {
		refused.write(w)
		return
	}
	defer func() { c.memory.release() }()
	response, refused := p.run(c)
	if refused != nil {
		refused.write(w)
		return
	}
	writeBefore(w, c.deadline.Add(writeGrace), func() { response.write(w, r) })
}

// writeGrace is the time after the deadline of a call for which its caller may still read the response.
const writeGrace = time.Second

// writeBefore lets writes to the caller fail from a point of time on. A caller that does not read would otherwise hold the
// memory of its response for ever.
func writeBefore(w http.ResponseWriter, deadline time.Time, write func()) {
	controller := http.NewResponseController(w)
	// The deadline is not supported by writers that hold the whole response, which need none.
	_ = controller.SetWriteDeadline(deadline)
	write()
	_ = controller.SetWriteDeadline(time.Time{})
}

// Drain makes every response close its connection, so that callers use other nodes before this one stops.
func (p *Proxy) Drain() {
	p.draining.Store(true)
}

// Close closes the idle connections.
func (p *Proxy) Close() {
	p.pools.closeIdle()
	p.gateTransport.CloseIdleConnections()
}

// admitted returns the call of a request, or its refusal before any backend server is tried.
func (p *Proxy) admitted(r *http.Request) (*call, *refusal) {
	table := p.options.Table()
	if table == nil {
		return nil, notRunRefusal(http.StatusServiceUnavailable, "the node has no configuration yet")
	}
	now := p.now()
	c, refused := readCall(r, table, now)
	if refused != nil {
		return nil, refused
	}
	c.service = withFallback(table, c.service)
	c.state = p.states.get(c.route.Config.Name)
	c.suspect = newSuspect(c)
	if refused := p.admit(c, now); refused != nil {
		return nil, refused
	}
	return c, nil
}

// run runs a call that was admitted.
func (p *Proxy) run(c *call) (*bufferedResponse, *refusal) {
	if c.key != "" && !c.route.Config.Idempotent {
		return p.serveAtMostOnce(c)
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	return p.serve(ctx, c)
}

// admit refuses a call that cannot meet its deadline, exceeds the rate limit of its resource, or is blocked, before any
// backend server is tried.
func (p *Proxy) admit(c *call, now time.Time) *refusal {
	if shortest := c.state.minLatency.Value(now); c.deadline.Sub(now) < shortest {
		return notRunRefusal(http.StatusGatewayTimeout, "the deadline cannot be met")
	}
	if resource := c.route.Limit; resource != nil && resource.PerSecond > 0 {
		if !p.rates.Allow(resource.Name, resource.PerSecond, resource.Burst, now) {
			return notRunRefusal(http.StatusTooManyRequests, "resource "+resource.Name+" is used up")
		}
	}
	if p.blocked(c) {
		return blockedRefusal()
	}
	return nil
}

func blockedRefusal() *refusal {
	return notRunRefusal(http.StatusUnprocessableEntity, "the request was in flight when several backend servers died")
}

// withFallback returns the service, or its fallback if the service has no backend servers.
func withFallback(table *routing.Table, service *routing.Service) *routing.Service {
	for i := range service.Versions {
		if service.Versions[i].Size() > 0 {
			return service
		}
	}
	if fallback := table.Service(service.Config.Fallback); fallback != nil {
		return fallback
	}
	return service
}
