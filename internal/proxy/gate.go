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
	// gateTimeout is the longest time for which a gate handles a call, and the deadline of a call that has none.
	gateTimeout = time.Minute
	// startTolerance is how long before this node a backend server may have started and still count as fresh, which means
	// that no connections to it have been granted. To an older one, an earlier process of this node may have granted some.
	startTolerance = 500 * time.Millisecond
)

// GateOptions configures a Gate.
type GateOptions struct {
	// Instance is the name of this node.
	Instance string
	// Local returns the current announcement of the local backend server, nil if there is none.
	Local func() *apiv1.BackendServer
	// Started is the start time of this process.
	Started time.Time
	// Now is the clock.
	Now func() time.Time
}

// Gate forwards the calls of other nodes to the local backend server. It grants those nodes direct connections, forwards
// at most as many calls at a time as the backend server has slots, and refuses all calls while the backend server is not
// ready.
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

// Path returns the pattern under which the gate is mounted on the control address.
func (g *Gate) Path() string {
	return gatePath + "/"
}

// ServeHTTP forwards one call.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	local, refused := g.admit(r)
	if refused != nil {
		refused.write(w)
		return
	}
	c, refused := readGateCall(r, g.options.Now())
	if refused != nil {
		refused.write(w)
		return
	}
	defer func() { c.memory.release() }()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	response, refused := g.forward(ctx, c, local)
	if refused != nil {
		refused.write(w)
		return
	}
	writeBefore(w, c.deadline.Add(writeGrace), func() { g.write(w, r, local, response) })
}

// admit returns the backend server that the call is for, or a refusal if it is not the local one or not ready.
func (g *Gate) admit(r *http.Request) (*gateServer, *refusal) {
	info := g.options.Local()
	if info == nil {
		return nil, drainingRefusal("no backend server is announced")
	}
	if target := r.Header.Get(headerTarget); target != info.Instance {
		return nil, notRunRefusal(http.StatusMisdirectedRequest, "backend server "+target+" is not beside this node")
	}
	if info.State != apiv1.ServerState_SERVER_STATE_READY {
		return nil, drainingRefusal("backend server " + info.Instance + " is leaving")
	}
	return g.server(info), nil
}

func drainingRefusal(message string) *refusal {
	refused := notRunRefusal(http.StatusServiceUnavailable, message)
	refused.draining = true
	return refused
}

// server returns the state of the announced incarnation of the backend server.
func (g *Gate) server(info *apiv1.BackendServer) *gateServer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != nil && g.current.matches(info) {
		return g.current
	}
	if g.current != nil {
		g.current.transport.CloseIdleConnections()
	}
	fresh := !time.UnixMilli(info.StartedUnixMs).Before(g.options.Started.Add(-startTolerance))
	g.current = newGateServer(info, fresh, g.options.Now(), netfault.Dialer(dialTimeout))
	return g.current
}

// readGateCall validates a call from another node.
func readGateCall(r *http.Request, now time.Time) (*call, *refusal) {
	stripped := *r
	url := *r.URL
	url.Path = strings.TrimPrefix(url.Path, gatePath)
	url.RawPath = strings.TrimPrefix(url.RawPath, gatePath)
	stripped.URL = &url
	c := &call{request: &stripped}
	if refused := c.readHeader(now, gateTimeout); refused != nil {
		return nil, refused
	}
	if c.depth > 0 {
		// The sending node has already increased the depth, and the gate's sender does it again.
		c.depth--
	}
	body, refused := readBody(r)
	c.body = body
	return c, refused
}

// forward sends the call to the backend server once a slot is free.
func (g *Gate) forward(ctx context.Context, c *call, local *gateServer) (*bufferedResponse, *refusal) {
	if refused := local.acquire(ctx, c); refused != nil {
		return nil, refused
	}
	defer local.release()
	if info := g.options.Local(); info == nil || !local.matches(info) || info.State != apiv1.ServerState_SERVER_STATE_READY {
		return nil, drainingRefusal("backend server " + local.info.Instance + " is leaving")
	}
	response, err := g.sender.roundTrip(ctx, c, &destination{transport: local.tracedTransport, addr: local.info.Addr})
	if err != nil {
		return nil, classifyError(err, &local.server).refusal
	}
	if instance := response.header.Get(HeaderInstance); instance != "" && instance != local.info.Instance {
		return nil, unknownRefusal(http.StatusBadGateway, "another backend server answered")
	}
	if response.header.Get(HeaderShed) != "" {
		local.server.Load.Shed(g.options.Now())
		return response, nil
	}
	local.server.Load.Served()
	return response, nil
}

// write writes the response with the gate's own headers.
func (g *Gate) write(w http.ResponseWriter, r *http.Request, local *gateServer, response *bufferedResponse) {
	copyHeader(w.Header(), response.header)
	for _, name := range systemHeaders {
		delete(w.Header(), name)
	}
	outcome := OutcomeDone
	if response.header.Get(HeaderShed) != "" {
		outcome = OutcomeNotRun
	}
	w.Header().Set(HeaderOutcome, string(outcome))
	w.Header().Set(headerLatency, strconv.FormatInt(response.latency.Microseconds(), 10))
	if grant, ok := readGrantRequest(r.Header); ok {
		count := local.grants.Request(grant.node, grant.held, grant.want, g.options.Now())
		w.Header().Set(headerGrant, strconv.Itoa(count))
	}
	if r.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body)
}
