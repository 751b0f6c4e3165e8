package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"

	"samphireflow/internal/routing"
)

// serve sends the call to a backend server, and retries as long as mayRetry permits.
func (p *Proxy) serve(ctx context.Context, c *call) (*bufferedResponse, *refusal) {
	version := p.pickVersion(c.service, rand.Uint32(), p.now())
	if version == nil || version.Size() == 0 {
		return nil, notRunRefusal(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" has no backend server")
	}
	if version = p.unblockedVersion(c, version); version == nil {
		return nil, blockedRefusal()
	}
	c.state.budget.Deposit(c.route.Settings.RetryBudget)
	var tried map[string]bool
	var last *refusal
	for attempts := 0; ; attempts++ {
		server, refused := p.acquire(ctx, c, version, tried)
		if refused != nil {
			c.pendingReports.Wait()
			return nil, mergeRefusals(last, refused)
		}
		r := p.attempt(ctx, c, server)
		if r.outcome == attemptAnswered {
			return r.response, nil
		}
		last = mergeRefusals(last, r.refusal)
		if c.broken > 1 {
			// The request may be what crashes the backend servers. Whether it must be blocked is known only after the
			// reports, and it must not reach a third one before.
			c.pendingReports.Wait()
		}
		if !p.mayRetry(ctx, c, version, &r, attempts) {
			c.pendingReports.Wait()
			return nil, last
		}
		tried = withTried(tried, server)
	}
}

// mergeRefusals returns the refusal that holds for all attempts: if an earlier one may have run, the outcome of the call
// is unknown, whatever happened later.
func mergeRefusals(earlier, later *refusal) *refusal {
	if earlier != nil && earlier.outcome == OutcomeUnknown {
		return earlier
	}
	return later
}

// mayRetry reports whether the call may be retried. An attempt that was not sent added no load, so it is retried at every
// depth. A shed or broken attempt is retried only at depth 0, so that retries do not multiply with the depth of nested
// calls; a broken one also only if the call is idempotent and not blocked.
func (p *Proxy) mayRetry(ctx context.Context, c *call, version *routing.Version, r *result, attempts int) bool {
	if ctx.Err() != nil || attempts >= c.route.Settings.RetryLimit {
		return false
	}
	now := p.now()
	if c.deadline.Sub(now) <= c.state.minLatency.Value(now) {
		return false
	}
	switch r.outcome {
	case attemptShed:
		if c.depth > 0 {
			return false
		}
	case attemptBroken:
		if c.depth > 0 || !c.route.Config.Idempotent || p.blockedAt(c, version) {
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
