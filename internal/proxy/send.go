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

// gatePath starts the path of a request to a gate.
const gatePath = "/gate"

// headerTook carries, on an answer of a gate, the time of its exchange with the backend server in microseconds.
const headerTook = "Samphireflow-Took"

// headerTarget names the backend server that a gate is to pass a request to.
const headerTarget = "Samphireflow-Target"

// send makes one attempt by the way that the link chooses.
func (p *Proxy) send(ctx context.Context, c *call, server *routing.Server) result {
	now := p.now()
	l := p.links.get(server, now)
	if l.choose(c.deadline, now) == wayGate {
		return p.sendToGate(ctx, c, l)
	}
	r := p.sendDirect(ctx, c, l)
	l.leaveDirect(r.fate == fateDone || r.fate == fateShed, p.now())
	return r
}

// sendDirect takes one hop.
func (p *Proxy) sendDirect(ctx context.Context, c *call, l *link) result {
	got, err := p.sender.roundTrip(ctx, c, &trip{transport: l.traced, addr: l.server.Info.Addr})
	if errors.Is(err, errNoConnection) {
		return p.sendToGate(ctx, c, l)
	}
	if err != nil {
		if ctx.Err() == nil {
			l.void()
		}
		return failed(err, l.server)
	}
	if instance := got.header.Get(HeaderInstance); instance != "" && instance != l.server.Info.Instance {
		l.void()
		return broken("another backend server answered")
	}
	p.takeReport(l, got.header)
	return judge(got, l.server)
}

// sendToGate takes two hops, and asks for connections on the way.
func (p *Proxy) sendToGate(ctx context.Context, c *call, l *link) result {
	asked := p.now()
	ask := l.ask(p.options.Instance, asked)
	got, err := p.sender.roundTrip(ctx, c, &trip{
		transport: p.toGates,
		addr:      l.server.Info.NodeControlAddr,
		prefix:    gatePath,
		target:    l.server.Info.Instance,
		ask:       &ask,
	})
	if err != nil {
		l.asked(false, 0, asked, p.now())
		return failed(err, l.server)
	}
	l.asked(got.header.Get(HeaderOutcome) == string(OutcomeDone), readGrant(got.header), asked, p.now())
	p.takeReport(l, got.header)
	return p.judgeGate(got, l.server)
}

// judgeGate tells a backend server's answer from what a gate says itself.
func (p *Proxy) judgeGate(got *answer, server *routing.Server) result {
	switch Outcome(got.header.Get(HeaderOutcome)) {
	case OutcomeDone:
		got.took = readTook(got)
		return judge(got, server)
	case OutcomeNotRun:
		draining := got.header.Get(HeaderDraining) != ""
		if draining {
			server.Load.MarkDraining(p.now())
		}
		if got.header.Get(HeaderShed) != "" {
			return shed(server)
		}
		return notSent("the node beside backend server "+server.Info.Instance+" refused the call", draining)
	}
	return broken("backend server " + server.Info.Instance + " did not answer whole")
}

// readTook returns the time that a gate took for its exchange, or the time of both hops where it does not say.
func readTook(got *answer) time.Duration {
	us, err := strconv.ParseInt(got.header.Get(headerTook), 10, 64)
	if err != nil || us < 0 {
		return got.took
	}
	return min(time.Duration(us)*time.Microsecond, got.took)
}

// judge tells an answer from a refusal of the backend server.
func judge(got *answer, server *routing.Server) result {
	if got.header.Get(HeaderShed) != "" {
		return shed(server)
	}
	return result{fate: fateDone, answer: got}
}

func shed(server *routing.Server) result {
	return result{fate: fateShed, refusal: notRun(http.StatusServiceUnavailable, "service "+server.Info.Service+" is overloaded")}
}

func notSent(message string, draining bool) result {
	bad := notRun(http.StatusServiceUnavailable, message)
	bad.draining = draining
	return result{fate: fateNotSent, refusal: bad}
}

func broken(message string) result {
	return result{fate: fateBroken, refusal: unknown(http.StatusBadGateway, message)}
}

func failed(err error, server *routing.Server) result {
	if errors.Is(err, errNotSent) {
		return notSent("backend server "+server.Info.Instance+" is not reachable", false)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result{fate: fateBroken, refusal: unknown(http.StatusGatewayTimeout, "the deadline passed before the answer came")}
	}
	return broken("backend server " + server.Info.Instance + " did not answer whole")
}

// takeReport reads the load that came with an answer.
func (p *Proxy) takeReport(l *link, header http.Header) {
	text, _, found := strings.Cut(header.Get(HeaderLoad), "/")
	if !found {
		return
	}
	if inFlight, err := strconv.Atoi(text); err == nil && inFlight >= 0 {
		l.server.Load.Report(inFlight, p.now())
	}
}
