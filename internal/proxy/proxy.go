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
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// gateConnections is the number of idle connections that a node keeps to another node.
	gateConnections = 4
	// maxAnswerBytes is the largest answer that is passed on.
	maxAnswerBytes = 8 << 20
)

// Proxy serves the calls of callers by the newest routing table.
type Proxy struct {
	options Options
	now     func() time.Time
	links   *links
	// gates is the transport to other nodes, toGates the same with spans.
	gates   *http.Transport
	toGates http.RoundTripper
	states  routeStates
	queues  queues
	rates   *limit.RateLimiters
	sender  *sender
	// guard holds back the new version of a move on what this node sees.
	guard *local.Breakers
	// leaving is set when the node stops: answers then close their connections.
	leaving atomic.Bool
	// ejecting guards the count of ejected backend servers between the check and the ejection.
	ejecting sync.Mutex
}

// New returns a proxy that reads the routing table anew for each call.
func New(options Options) *Proxy {
	if options.Now == nil {
		options.Now = time.Now
	}
	dial := netfault.Dialer(dialTimeout)
	p := &Proxy{
		options: options,
		now:     options.Now,
		links:   newLinks(dial),
		rates:   limit.NewRateLimiters(),
		sender:  newSender(options.Instance),
		guard:   local.NewBreakers(),
	}
	p.gates = &http.Transport{
		DialContext:         countingDialer(dial),
		MaxIdleConnsPerHost: gateConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	p.toGates = tracing.Transport(p.gates)
	return p
}

// countingDialer wraps the connections of a dialer, so that attempts can tell what they sent.
func countingDialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened, closed: func() {}, broke: func() {}}, nil
	}
}

// ServeHTTP routes one call.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	got, bad := p.handle(r)
	if bad != nil {
		bad.write(w)
		return
	}
	got.write(w, r)
}

// Drain makes every answer close its connection, so that callers go to other nodes before this one stops.
func (p *Proxy) Drain() {
	p.leaving.Store(true)
}

// Close closes the connections that no call uses.
func (p *Proxy) Close() {
	p.links.closeIdle()
	p.gates.CloseIdleConnections()
}

func (p *Proxy) handle(r *http.Request) (*answer, *refusal) {
	table := p.options.Table()
	if table == nil {
		return nil, notRun(http.StatusServiceUnavailable, "the node has no configuration yet")
	}
	now := p.now()
	c, bad := readCall(r, table, now)
	if bad != nil {
		return nil, bad
	}
	c.service = withFallback(table, c.service)
	c.state = p.states.get(c.route.Config.Name)
	if bad := p.admit(c, now); bad != nil {
		return nil, bad
	}
	if c.key != "" && !c.route.Config.Idempotent {
		return p.serveOnce(c)
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	return p.serve(ctx, c)
}

// admit refuses a call before anything is spent on it.
func (p *Proxy) admit(c *call, now time.Time) *refusal {
	if least := c.state.floor.Value(now); c.deadline.Sub(now) < least {
		return notRun(http.StatusGatewayTimeout, "the deadline cannot be met")
	}
	if resource := c.route.Limit; resource != nil && resource.PerSecond > 0 {
		if !p.rates.Allow(resource.Name, resource.PerSecond, resource.Burst, now) {
			return notRun(http.StatusTooManyRequests, "resource "+resource.Name+" is used up")
		}
	}
	if p.condemned(c) {
		return notRun(http.StatusUnprocessableEntity, "the request was in flight when two backend servers died")
	}
	return nil
}

// withFallback returns the service that takes the calls: the fallback where the service has no backend server.
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
