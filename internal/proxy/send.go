package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/routing"
)

// gatePath is the path prefix of requests to a gate.
const gatePath = "/gate"

// headerLatency is set in a gate's response to the time of its exchange with the backend server, in microseconds.
const headerLatency = "Samphireflow-Took"

// headerTarget is the instance name of the backend server that a gate forwards the request to.
const headerTarget = "Samphireflow-Target"

// send sends the call once, directly or through the gate, as its connection pool decides.
func (p *Proxy) send(ctx context.Context, c *call, server *routing.Server) result {
	now := p.now()
	pool := p.pools.get(server, now)
	if pool.choosePath(c.deadline, now) == viaGatePath {
		return p.sendToGate(ctx, c, pool)
	}
	r := p.sendDirect(ctx, c, pool)
	pool.endDirect(r.outcome == attemptAnswered || r.outcome == attemptShed, p.now())
	return r
}

// sendDirect sends the call straight to the backend server, or through its gate if no granted connection is free.
func (p *Proxy) sendDirect(ctx context.Context, c *call, pool *connPool) result {
	response, err := p.sender.roundTrip(ctx, c, &destination{transport: pool.tracedTransport, addr: pool.server.Info.Addr})
	if errors.Is(err, errNoGrant) {
		return p.sendToGate(ctx, c, pool)
	}
	if err != nil {
		if ctx.Err() == nil {
			pool.dropGrant()
		}
		return classifyError(err, pool.server)
	}
	if instance := response.header.Get(HeaderInstance); instance != "" && instance != pool.server.Info.Instance {
		pool.dropGrant()
		return brokenResult("another backend server answered")
	}
	p.recordLoad(pool, response.header)
	return classifyResponse(response, pool.server)
}

// sendToGate sends the call through the gate of the backend server. The same request asks for a grant of connections.
func (p *Proxy) sendToGate(ctx context.Context, c *call, pool *connPool) result {
	requestedAt := p.now()
	grant := pool.beginGrantRequest(p.options.Instance, requestedAt)
	response, err := p.sender.roundTrip(ctx, c, &destination{
		transport:  p.tracedGateTransport,
		addr:       pool.server.Info.NodeControlAddr,
		pathPrefix: gatePath,
		target:     pool.server.Info.Instance,
		grant:      &grant,
	})
	if err != nil {
		pool.endGrantRequest(false, 0, requestedAt, p.now())
		return classifyError(err, pool.server)
	}
	pool.endGrantRequest(response.header.Get(HeaderOutcome) == string(OutcomeDone), readGrant(response.header), requestedAt, p.now())
	p.recordLoad(pool, response.header)
	return p.classifyGateResponse(response, pool.server)
}

// classifyGateResponse distinguishes the forwarded response of a backend server from a refusal of the gate.
func (p *Proxy) classifyGateResponse(response *bufferedResponse, server *routing.Server) result {
	switch Outcome(response.header.Get(HeaderOutcome)) {
	case OutcomeDone:
		response.latency = readLatency(response)
		return classifyResponse(response, server)
	case OutcomeNotRun:
		draining := response.header.Get(HeaderDraining) != ""
		if draining {
			server.Load.MarkDraining(p.now())
		}
		if response.header.Get(HeaderShed) != "" {
			return shedResult(server)
		}
		return notSentResult("the node beside backend server "+server.Info.Instance+" refused the call", draining)
	}
	return brokenResult("backend server " + server.Info.Instance + " did not answer whole")
}

// readLatency returns the latency that a gate reports, but at most the time of both hops, which it also returns if the
// gate reports none.
func readLatency(response *bufferedResponse) time.Duration {
	us, err := strconv.ParseInt(response.header.Get(headerLatency), 10, 64)
	if err != nil || us < 0 {
		return response.latency
	}
	return min(time.Duration(us)*time.Microsecond, response.latency)
}

// classifyResponse distinguishes a response to the call from a refusal of the backend server to run it.
func classifyResponse(response *bufferedResponse, server *routing.Server) result {
	if response.header.Get(HeaderShed) != "" {
		return shedResult(server)
	}
	return result{outcome: attemptAnswered, response: response}
}

func shedResult(server *routing.Server) result {
	return result{outcome: attemptShed, refusal: notRunRefusal(http.StatusServiceUnavailable, "service "+server.Info.Service+" is overloaded")}
}

func notSentResult(message string, draining bool) result {
	refused := notRunRefusal(http.StatusServiceUnavailable, message)
	refused.draining = draining
	return result{outcome: attemptNotSent, refusal: refused}
}

func brokenResult(message string) result {
	return result{outcome: attemptBroken, refusal: unknownRefusal(http.StatusBadGateway, message)}
}

func classifyError(err error, server *routing.Server) result {
	if errors.Is(err, errNotSent) {
		return notSentResult("backend server "+server.Info.Instance+" is not reachable", false)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result{outcome: attemptBroken, refusal: unknownRefusal(http.StatusGatewayTimeout, "the deadline passed before the answer came")}
	}
	return brokenResult("backend server " + server.Info.Instance + " did not answer whole")
}

// recordLoad records the number of calls in flight that a response reports.
func (p *Proxy) recordLoad(pool *connPool, header http.Header) {
	text, _, found := strings.Cut(header.Get(HeaderLoad), "/")
	if !found {
		return
	}
	if inFlight, err := strconv.Atoi(text); err == nil && inFlight >= 0 {
		pool.server.Load.Report(inFlight, p.now())
	}
}
