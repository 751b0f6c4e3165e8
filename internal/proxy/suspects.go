package proxy

import (
	"context"

	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

// Suspects tracks the requests that crash backend servers; *suspect.Tracker implements it.
type Suspects interface {
	// Blocked reports whether a request must be refused at a version of its service, because it was in flight when several
	// backend servers crashed.
	Blocked(request *suspect.Request, version string) bool
	// ReportBroken reports an attempt that ended without a whole response. If the backend server has crashed, it returns after
	// the other nodes have been notified.
	ReportBroken(ctx context.Context, request *suspect.Request, server *routing.Server, run suspect.Run)
	// ReportCompleted reports that a request got a whole response from a version of its service.
	ReportCompleted(request *suspect.Request, version string)
}

// newSuspect returns what identifies the request of a call. The host is that of the node that its caller has chosen, so it is
// not part of it.
func newSuspect(c *call) *suspect.Request {
	return &suspect.Request{
		Service:  c.service.Config.Name,
		Identity: suspect.Identity{Caller: c.caller, Method: c.request.Method, Target: c.request.URL.RequestURI()},
		Body:     c.body,
	}
}

// blockedAt reports whether the request must be refused at a version because it was in flight when several backend servers
// crashed.
func (p *Proxy) blockedAt(c *call, version *routing.Version) bool {
	return p.options.Suspects != nil && p.options.Suspects.Blocked(c.suspect, version.Name)
}

// blocked reports whether the request must be refused at all versions that have backend servers.
func (p *Proxy) blocked(c *call) bool {
	blocked := false
	for i := range c.service.Versions {
		version := &c.service.Versions[i]
		if version.Size() == 0 {
			continue
		}
		if !p.blockedAt(c, version) {
			return false
		}
		blocked = true
	}
	return blocked
}

// unblockedVersion returns the version, or the one that the service moves from if the request is blocked at the version. It
// returns nil if it is blocked at both. A version that the service moves to gets no more than its share.
func (p *Proxy) unblockedVersion(c *call, version *routing.Version) *routing.Version {
	if version == nil || !p.blockedAt(c, version) {
		return version
	}
	if last := lastVersion(c.service); last != version && !p.blockedAt(c, last) {
		return last
	}
	return nil
}

// reportCompleted reports that the request got a whole response.
func (p *Proxy) reportCompleted(c *call, server *routing.Server) {
	if suspects := p.options.Suspects; suspects != nil {
		suspects.ReportCompleted(c.suspect, server.Info.Version)
	}
}

// reportBroken reports an attempt without a whole response. It does not wait for the report, so that the call can already
// be retried.
func (p *Proxy) reportBroken(ctx context.Context, c *call, server *routing.Server, run suspect.Run) {
	if suspects := p.options.Suspects; suspects != nil {
		c.pendingReports.Go(func() { suspects.ReportBroken(ctx, c.suspect, server, run) })
	}
}
