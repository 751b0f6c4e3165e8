package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"

	"samphireflow/internal/routing"
)

// serve sends the call, and again where that is safe and worth it.
func (p *Proxy) serve(ctx context.Context, c *call) (*answer, *refusal) {
	version := p.pickVersion(c.service, rand.Uint32(), p.now())
	if version == nil || version.Size() == 0 {
		return nil, notRun(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" has no backend server")
	}
	c.state.budget.Deposit(c.route.Settings.RetryBudget)
	var tried map[string]bool
	var last *refusal
	breaks := 0
	for attempts := 0; ; attempts++ {
		server, bad := p.acquire(ctx, c, version, tried)
		if bad != nil {
			c.reports.Wait()
			return nil, worse(last, bad)
		}
		r := p.attempt(ctx, c, server)
		if r.fate == fateDone {
			return r.answer, nil
		}
		last = worse(last, r.refusal)
		if r.fate == fateBroken {
			breaks++
		}
		if breaks > 1 {
			// The request may be what breaks backend servers; a further one must not be risked before that is known.
			c.reports.Wait()
		}
		if !p.mayRetry(ctx, c, &r, attempts) {
			c.reports.Wait()
			return nil, last
		}
		tried = withTried(tried, server)
	}
}

// worse returns the refusal that tells the truth about all attempts: once one of them may have run, so may the call.
func worse(earlier, later *refusal) *refusal {
	if earlier != nil && earlier.outcome == OutcomeUnknown {
		return earlier
	}
	return later
}

// mayRetry decides on another attempt. An attempt that was not sent asked nothing of anyone, so it may be made good at
// every depth. One that was shed, or that broke under an idempotent call, is retried by the first node only, so that
// retries do not multiply with the depth of a call.
func (p *Proxy) mayRetry(ctx context.Context, c *call, r *result, attempts int) bool {
	if ctx.Err() != nil || attempts >= c.route.Settings.RetryLimit {
		return false
	}
	now := p.now()
	if c.deadline.Sub(now) <= c.state.floor.Value(now) {
		return false
	}
	switch r.fate {
	case fateShed:
		if c.depth > 0 {
			return false
		}
	case fateBroken:
		if c.depth > 0 || !c.route.Config.Idempotent || p.blocked(c) {
			return false
		}
	}
	return c.state.budget.TryWithdraw()
}

func withTried(tried map[string]bool, server *routing.Server) map[string]bool {
	if tried == nil {
		tried = make(map[string]bool, 2)
	}
	tried[server.Info.Instance] = true
	return tried
}
