package proxy

import (
	"context"
	"net/http"
	"time"

	"samphireflow/internal/balance"
	"samphireflow/internal/routing"
)

// fate says what is known about an attempt.
type fate int

const (
	// fateDone is a whole answer.
	fateDone fate = iota
	// fateNotSent is an attempt of which no byte was sent, or that the node beside the backend server refused.
	fateNotSent
	// fateShed is an attempt that the backend server refused before it ran.
	fateShed
	// fateBroken is an attempt that was sent and has no whole answer.
	fateBroken
)

// result is how an attempt ended.
type result struct {
	fate    fate
	answer  *answer
	refusal *refusal
}

// attempt sends the call once to a backend server whose room has been taken, and gives the room back.
func (p *Proxy) attempt(ctx context.Context, c *call, server *routing.Server) result {
	started := p.now()
	r := p.send(ctx, c, server)
	now := p.now()
	server.Load.End()
	p.learn(c, server, &r, started, now, ctx.Err())
	p.queues.get(server.Info.Service, server.Info.Version).Wake()
	if r.fate == fateBroken && ctx.Err() == nil {
		p.reportBroken(ctx, c, server)
	}
	return r
}

// learn takes in what an attempt shows about the backend server.
func (p *Proxy) learn(c *call, server *routing.Server, r *result, started, now time.Time, ended error) {
	switch r.fate {
	case fateNotSent:
		if !r.refusal.draining {
			p.observe(c, server, balance.OutcomeBroken, now)
		}
		return
	case fateShed:
		server.Load.Shed(now)
		return
	case fateBroken:
		// A caller that went away says nothing about the backend server; a deadline that passed does.
		if ended == context.Canceled {
			return
		}
		p.observe(c, server, balance.OutcomeBroken, now)
	case fateDone:
		server.Load.Served()
		c.state.floor.Observe(now.Sub(started), now)
		outcome := balance.OutcomeOK
		if r.answer.status >= http.StatusInternalServerError {
			outcome = balance.OutcomeError
		}
		p.observe(c, server, outcome, now)
		p.completed(c)
	}
	took := now.Sub(started)
	if r.answer != nil {
		// Versions are compared by what their backend servers take, not by the way there: the few calls to a new
		// version open connections and go by gates more often.
		took = r.answer.took
	}
	ok := r.fate == fateDone && r.answer.status < http.StatusInternalServerError
	p.guard.Record(now, c.service.Config, server.Info.Version, !ok)
	p.options.Recorder.Record(server.Info.Service, server.Info.Version, c.route.Config.Name, ok, r.fate == fateBroken && ended == nil, took)
}

// observe counts an outcome and ejects an outlier while enough others stay.
func (p *Proxy) observe(c *call, server *routing.Server, outcome balance.Outcome, now time.Time) {
	policy := &c.service.Settings.Balance
	if !server.Load.Observe(outcome, policy.EjectErrorRate, now) {
		return
	}
	p.ejecting.Lock()
	defer p.ejecting.Unlock()
	for i := range c.service.Versions {
		version := &c.service.Versions[i]
		if version.Name == server.Info.Version && policy.MayEject(version.Local, version.Remote, now) {
			server.Load.Eject(policy.EjectTime, now)
			p.options.Logger.Warn().Str("backend_server", server.Info.Instance).Msg("backend server ejected")
		}
	}
}
