package proxy

import (
	"context"

	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

// Suspects tracks the requests that crash backend servers; *suspect.Tracker implements it.
type Suspects interface {
	// Active reports whether any request is suspect. If none is, no fingerprint has to be computed.
	Active() bool
	// Blocked reports whether a request must be refused because it was in flight when several backend servers crashed.
	Blocked(service string, fingerprint suspect.Fingerprint) bool
	// ReportBroken reports an attempt that ended without a whole response. If the backend server has crashed, it returns after
	// the other nodes have been notified.
	ReportBroken(ctx context.Context, service string, fingerprint suspect.Fingerprint, server *routing.Server)
	// ReportCompleted reports that a request got a whole response.
	ReportCompleted(service string, fingerprint suspect.Fingerprint)
}

func fingerprintOf(c *call) suspect.Fingerprint {
	return suspect.NewFingerprint(c.route.Config.Name, c.request.Method, c.request.URL.RequestURI(), c.body)
}

// blocked reports whether the request must be refused because it was in flight when several backend servers crashed.
func (p *Proxy) blocked(c *call) bool {
	suspects := p.options.Suspects
	return suspects != nil && suspects.Active() && suspects.Blocked(c.service.Config.Name, fingerprintOf(c))
}

// reportCompleted reports that the request got a whole response, so that it is no longer suspect.
func (p *Proxy) reportCompleted(c *call) {
	if suspects := p.options.Suspects; suspects != nil && suspects.Active() {
		suspects.ReportCompleted(c.service.Config.Name, fingerprintOf(c))
	}
}

// reportBroken reports an attempt without a whole response. It does not wait for the report, so that the call can already
// be retried.
func (p *Proxy) reportBroken(ctx context.Context, c *call, server *routing.Server) {
	suspects := p.options.Suspects
	if suspects == nil {
		return
	}
	fingerprint := fingerprintOf(c)
	c.pendingReports.Go(func() { suspects.ReportBroken(ctx, c.service.Config.Name, fingerprint, server) })
}
