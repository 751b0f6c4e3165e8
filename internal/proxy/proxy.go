package proxy

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/netfault"
	"samphireflow/internal/routing"
	"samphireflow/internal/tracing"
)

const (
	// idleTimeout is the time after which an unused connection to a backend server is closed.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the opening of a connection to a backend server.
	dialTimeout = 500 * time.Millisecond
	// connectionsPerServer is the number of connections that a node keeps to one backend server.
	connectionsPerServer = 8
	// maxAnswerBytes is the largest answer that is passed on.
	maxAnswerBytes = 8 << 20
)

// Recorder takes the outcomes of calls. It must be safe for use by many goroutines.
type Recorder interface {
	Record(service, version, route string, ok, broken bool, duration time.Duration)
}

// Proxy serves the calls of callers by the newest routing table.
type Proxy struct {
	table     func() *routing.Table
	recorder  Recorder
	transport http.RoundTripper
	now       func() time.Time
}

// New returns a proxy that reads the routing table anew for each call.
func New(table func() *routing.Table, recorder Recorder) *Proxy {
	return &Proxy{
		table:    table,
		recorder: recorder,
		now:      time.Now,
		transport: tracing.Transport(&http.Transport{
			DialContext:         netfault.Dialer(dialTimeout),
			MaxIdleConnsPerHost: connectionsPerServer,
			MaxConnsPerHost:     connectionsPerServer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}),
	}
}

// answer is the whole answer of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// errNotSent marks a failure before any byte of the request was sent.
var errNotSent = errors.New("the request was not sent")

// ServeHTTP routes one call.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	table := p.table()
	if table == nil {
		notRun(http.StatusServiceUnavailable, "the node has no configuration yet").write(w)
		return
	}
	c, bad := readCall(r, table, p.now())
	if bad != nil {
		bad.write(w)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	got, bad := p.serve(ctx, c)
	if bad != nil {
		bad.write(w)
		return
	}
	got.write(w)
}

// serve sends the call, again where that is safe: a request that was not sent, or an idempotent one.
func (p *Proxy) serve(ctx context.Context, c *call) (*answer, *refusal) {
	version := pickVersion(c.service, rand.Uint32())
	if version == nil {
		return nil, notRun(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" has no version")
	}
	tried := map[string]bool{}
	last := notRun(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" has no backend server")
	for attempt := 0; attempt <= c.route.Settings.RetryLimit; attempt++ {
		server := pickServer(version, tried)
		if server == nil {
			return nil, last
		}
		tried[server.Info.Instance] = true
		got, err := p.send(ctx, c, server)
		switch {
		case err == nil && got.header.Get(HeaderShed) != "":
			last = notRun(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" is overloaded")
		case err == nil:
			return got, nil
		case errors.Is(err, errNotSent):
			last = notRun(http.StatusServiceUnavailable, "backend server "+server.Info.Instance+" is not reachable")
		default:
			last = unknown(http.StatusBadGateway, "backend server "+server.Info.Instance+" did not answer whole")
			if !c.route.Config.Idempotent {
				return nil, last
			}
		}
		if ctx.Err() != nil {
			return nil, last
		}
	}
	return nil, last
}

// send makes one attempt and records its outcome.
func (p *Proxy) send(ctx context.Context, c *call, server *routing.Server) (*answer, error) {
	server.Load.InFlight.Add(1)
	defer server.Load.InFlight.Add(-1)
	started := p.now()
	got, err := p.roundTrip(ctx, c, server)
	if got != nil && got.header.Get(HeaderShed) != "" {
		return got, err
	}
	if ctx.Err() == context.Canceled {
		return got, err
	}
	ok := err == nil && got.status < http.StatusInternalServerError
	broken := err != nil && ctx.Err() == nil
	p.recorder.Record(c.service.Config.Name, server.Info.Version, c.route.Config.Name, ok, broken, p.now().Sub(started))
	return got, err
}

func (p *Proxy) roundTrip(ctx context.Context, c *call, server *routing.Server) (*answer, error) {
	request, err := p.outgoing(ctx, c, server)
	if err != nil {
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return nil, classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.New("the answer is too long")
	}
	return &answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

func (p *Proxy) outgoing(ctx context.Context, c *call, server *routing.Server) (*http.Request, error) {
	target := *c.request.URL
	target.Scheme = "http"
	target.Host = server.Info.Addr
	request, err := http.NewRequestWithContext(ctx, c.request.Method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	copyHeader(request.Header, c.request.Header)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(c.deadline.UnixMilli(), 10))
	// The transport itself repeats requests that it takes for idempotent; an empty GetBody keeps it from that.
	request.GetBody = nil
	return request, nil
}

// classify tells a failed dial, after which nothing was sent, from every other failure.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(errNotSent, err.Error())
	}
	return errors.Wrap(err, "round trip")
}

func (a *answer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set(HeaderOutcome, string(OutcomeDone))
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}
