package proxy

import (
	"context"
	"net/http"
	"time"

	"samphireflow/internal/balance"
	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

// attemptOutcome is the outcome of one attempt.
type attemptOutcome int

const (
	// attemptAnswered means that the whole response arrived.
	attemptAnswered attemptOutcome = iota
	// attemptNotSent means that no byte was sent to the backend server: the connection failed or the gate refused the
	// call.
	attemptNotSent
	// attemptShed means that the backend server or its gate had no free slot and did not run the call.
	attemptShed
	// attemptBroken means that the call was sent and no whole response arrived.
	attemptBroken
)

// result is the result of one attempt: a response if the outcome is attemptAnswered, otherwise a refusal.
type result struct {
	outcome  attemptOutcome
	response *bufferedResponse
	refusal  *refusal
}

// attempt sends the call once to a backend server on which acquire has reserved capacity, and releases the capacity.
func (p *Proxy) attempt(ctx context.Context, c *call, server *routing.Server) result {
	started := p.now()
	r := p.send(ctx, c, server)
	now := p.now()
	server.Load.End()
	p.recordAttempt(c, server, &r, started, now, ctx.Err())
	p.queues.get(server.Info.Service, server.Info.Version).Wake()
	if r.outcome == attemptBroken && ctx.Err() == nil {
		p.reportBroken(ctx, c, server, suspect.Run{Began: started, Ended: now, Earlier: c.broken})
		c.broken++
	}
	return r
}

// recordAttempt updates the health, load and statistics of a backend server after an attempt. ctxErr is the error
// of the call's context.
func (p *Proxy) recordAttempt(c *call, server *routing.Server, r *result, started, now time.Time, ctxErr error) {
	switch r.outcome {
	case attemptNotSent:
		if !r.refusal.draining {
			p.recordOutcome(c, server, balance.OutcomeBroken, now)
		}
		return
	case attemptShed:
		server.Load.Shed(now)
		return
	case attemptBroken:
		// A canceled call is not evidence against the backend server; a passed deadline is.
		if ctxErr == context.Canceled {
			return
		}
		p.recordOutcome(c, server, balance.OutcomeBroken, now)
	case attemptAnswered:
		server.Load.Served()
		c.state.minLatency.Observe(now.Sub(started), now)
		outcome := balance.OutcomeOK
		if r.response.status >= http.StatusInternalServerError {
			outcome = balance.OutcomeError
		}
		p.recordOutcome(c, server, outcome, now)
		p.reportCompleted(c, server)
	}
	latency := now.Sub(started)
	if r.response != nil {
		// The latencies by which versions are compared leave out connecting and gates: the few calls to a new version
		// open connections and go through gates more often.
		latency = r.response.latency
	}
	ok := r.outcome == attemptAnswered && r.response.status < http.StatusInternalServerError
	p.breakers.Record(now, c.service.Config, server.Info.Version, !ok)
	p.options.Recorder.Record(server.Info.Service, server.Info.Version, c.route.Config.Name, ok, r.outcome == attemptBroken && ctxErr == nil, latency)
}

// recordOutcome counts an outcome. It ejects a backend server that fails too often, if enough others remain.
func (p *Proxy) recordOutcome(c *call, server *routing.Server, outcome balance.Outcome, now time.Time) {
	policy := &c.service.Settings.Balance
	if !server.Load.Observe(outcome, policy.EjectErrorRate, now) {
		return
	}
	p.ejectMu.Lock()
	defer p.ejectMu.Unlock()
	for i := range c.service.Versions {
		version := &c.service.Versions[i]
		if version.Name == server.Info.Version && policy.MayEject(version.Local, version.Remote, now) {
			server.Load.Eject(policy.EjectTime, now)
			p.options.Logger.Warn().Str("backend_server", server.Info.Instance).Msg("backend server ejected")
		}
	}
}
