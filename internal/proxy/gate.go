package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/netfault"
)

const (
	// gateTimeout bounds a call that came without a deadline.
	gateTimeout = time.Minute
	// startTolerance is the time by which a backend server may have started before the node beside it and still be
	// taken for one that nobody holds connections to.
	startTolerance = 500 * time.Millisecond
)

// GateOptions are what a gate is made of.
type GateOptions struct {
	// Instance is the name of this node.
	Instance string
	// Local returns the announcement of the backend server beside this node, nil when there is none in force.
	Local func() *apiv1.BackendServer
	// Started is the start of this process.
	Started time.Time
	// Now is the clock.
	Now func() time.Time
}

// Gate passes the calls of other nodes to the backend server beside this node. It grants those nodes connections of
// their own, holds its own calls to the number of slots, and refuses all when the backend server leaves.
type Gate struct {
	options GateOptions
	sender  *sender

	mu      sync.Mutex
	current *gateServer
}

// NewGate returns a gate.
func NewGate(options GateOptions) *Gate {
	return &Gate{options: options, sender: newSender(options.Instance)}
}

// Path is the pattern under which the gate is mounted on the control address.
func (g *Gate) Path() string {
	return gatePath + "/"
}

// ServeHTTP passes on one call.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	local, bad := g.admit(r)
	if bad != nil {
		bad.write(w)
		return
	}
	c, bad := readGateCall(r, g.options.Now())
	if bad != nil {
		bad.write(w)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	got, bad := g.pass(ctx, c, local)
	if bad != nil {
		bad.write(w)
		return
	}
	g.write(w, r, local, got)
}

// admit returns the backend server that takes the call.
func (g *Gate) admit(r *http.Request) (*gateServer, *refusal) {
	info := g.options.Local()
	if info == nil {
		return nil, leavingRefusal("no backend server is announced")
	}
	if target := r.Header.Get(headerTarget); target != info.Instance {
		return nil, notRun(http.StatusMisdirectedRequest, "backend server "+target+" is not beside this node")
	}
	if info.State != apiv1.ServerState_SERVER_STATE_READY {
		return nil, leavingRefusal("backend server " + info.Instance + " is leaving")
	}
	return g.server(info), nil
}

func leavingRefusal(message string) *refusal {
	bad := notRun(http.StatusServiceUnavailable, message)
	bad.draining = true
	return bad
}

// server returns the state of the announced start of the backend server.
func (g *Gate) server(info *apiv1.BackendServer) *gateServer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != nil && g.current.is(info) {
		return g.current
	}
	if g.current != nil {
		g.current.transport.CloseIdleConnections()
	}
	fresh := !time.UnixMilli(info.StartedUnixMs).Before(g.options.Started.Add(-startTolerance))
	g.current = newGateServer(info, fresh, g.options.Now(), netfault.Dialer(dialTimeout))
	return g.current
}

// readGateCall reads what another node sent.
func readGateCall(r *http.Request, now time.Time) (*call, *refusal) {
	stripped := *r
	url := *r.URL
	url.Path = strings.TrimPrefix(url.Path, gatePath)
	url.RawPath = strings.TrimPrefix(url.RawPath, gatePath)
	stripped.URL = &url
	c := &call{request: &stripped}
	if bad := c.readHeader(now, gateTimeout); bad != nil {
		return nil, bad
	}
	if c.depth > 0 {
		// The sending node has counted itself.
		c.depth--
	}
	body, bad := readBody(r)
	c.body = body
	return c, bad
}

// pass sends the call to the backend server within its slots.
func (g *Gate) pass(ctx context.Context, c *call, local *gateServer) (*answer, *refusal) {
	if bad := local.acquire(ctx, c); bad != nil {
		return nil, bad
	}
	defer local.release()
	if info := g.options.Local(); info == nil || !local.is(info) || info.State != apiv1.ServerState_SERVER_STATE_READY {
		return nil, leavingRefusal("backend server " + local.info.Instance + " is leaving")
	}
	got, err := g.sender.roundTrip(ctx, c, &trip{transport: local.traced, addr: local.info.Addr})
	if err != nil {
		return nil, failed(err, &local.server).refusal
	}
	if instance := got.header.Get(HeaderInstance); instance != "" && instance != local.info.Instance {
		return nil, unknown(http.StatusBadGateway, "another backend server answered")
	}
	if got.header.Get(HeaderShed) != "" {
		local.server.Load.Shed(g.options.Now())
		return got, nil
	}
	local.server.Load.Served()
	return got, nil
}

// write passes the answer on with what the system says about it.
func (g *Gate) write(w http.ResponseWriter, r *http.Request, local *gateServer, got *answer) {
	copyHeader(w.Header(), got.header)
	for _, name := range systemHeaders {
		delete(w.Header(), name)
	}
	outcome := OutcomeDone
	if got.header.Get(HeaderShed) != "" {
		outcome = OutcomeNotRun
	}
	w.Header().Set(HeaderOutcome, string(outcome))
	w.Header().Set(headerTook, strconv.FormatInt(got.took.Microseconds(), 10))
	if ask, ok := readGrantAsk(r.Header); ok {
		count := local.ledger.Request(ask.node, ask.held, ask.want, g.options.Now())
		w.Header().Set(headerGrant, strconv.Itoa(count))
	}
	if r.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	w.WriteHeader(got.status)
	_, _ = w.Write(got.body)
}
