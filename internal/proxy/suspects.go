package proxy

import (
	"context"

	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

// Suspects tracks the requests that crash backend servers; *suspect.Tracker implements it.
type Suspects interface {
	// Active reports whether any request is suspect; while none is, callers need not compute fingerprints.
	Active() bool
	// Blocked reports whether a request must be refused.
	Blocked(service string, fingerprint suspect.Fingerprint) bool
	// ReportBroken reports that an attempt ended without an answer. If the backend server crashed, it returns only after
	// the other nodes were told.
	ReportBroken(ctx context.Context, service string, fingerprint suspect.Fingerprint, server *routing.Server)
	// ReportCompleted reports that a request was answered.
	ReportCompleted(service string, fingerprint suspect.Fingerprint)
}

func fingerprintOf(c *call) suspect.Fingerprint {
	return suspect.NewFingerprint(c.route.Config.Name, c.request.Method, c.request.URL.RequestURI(), c.body)
}

// blocked reports whether the request has crashed too many backend servers.
func (p *Proxy) blocked(c *call) bool {
	suspects := p.options.Suspects
	return suspects != nil && suspects.Active() && suspects.Blocked(c.service.Config.Name, fingerprintOf(c))
}

// completed clears a suspect request that was answered.
func (p *Proxy) completed(c *call) {
	if suspects := p.options.Suspects; suspects != nil && suspects.Active() {
		suspects.ReportCompleted(c.service.Config.Name, fingerprintOf(c))
	}
}

// reportBroken tells of an attempt without an answer, while the call may already be retried.
func (p *Proxy) reportBroken(ctx context.Context, c *call, server *routing.Server) {
	suspects := p.options.Suspects
	if suspects == nil {
		return
	}
	fingerprint := fingerprintOf(c)
	c.reports.Go(func() { suspects.ReportBroken(ctx, c.service.Config.Name, fingerprint, server) })
}
