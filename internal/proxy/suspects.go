package proxy

import (
	"context"

	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

// Suspects knows the requests that crash backend servers; *suspect.Watch is one.
type Suspects interface {
	// Active reports whether any request is suspect; without one, no fingerprint need be made.
	Active() bool
	// Blocked reports whether a request must be refused.
	Blocked(service string, fingerprint suspect.Fingerprint) bool
	// Broken tells that an attempt ended without an answer. It returns once the nodes have been told, if the backend
	// server is dead.
	Broken(ctx context.Context, service string, fingerprint suspect.Fingerprint, server *routing.Server)
	// Completed tells that a request was answered.
	Completed(service string, fingerprint suspect.Fingerprint)
}

func fingerprintOf(c *call) suspect.Fingerprint {
	return suspect.NewFingerprint(c.route.Config.Name, c.request.Method, c.request.URL.RequestURI(), c.body)
}

// condemned reports whether the request has crashed too many backend servers.
func (p *Proxy) condemned(c *call) bool {
	suspects := p.options.Suspects
	return suspects != nil && suspects.Active() && suspects.Blocked(c.service.Config.Name, fingerprintOf(c))
}

// completed clears a suspect request that was answered.
func (p *Proxy) completed(c *call) {
	if suspects := p.options.Suspects; suspects != nil && suspects.Active() {
		suspects.Completed(c.service.Config.Name, fingerprintOf(c))
	}
}

// reportBroken tells of an attempt without an answer, while the call may already be retried.
func (p *Proxy) reportBroken(ctx context.Context, c *call, server *routing.Server) {
	suspects := p.options.Suspects
	if suspects == nil {
		return
	}
	fingerprint := fingerprintOf(c)
	c.reports.Go(func() { suspects.Broken(ctx, c.service.Config.Name, fingerprint, server) })
}
