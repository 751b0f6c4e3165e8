package ingress

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"samphireflow/internal/exchange"
	"samphireflow/internal/resources"
	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

// identifySuspect sets what identifies the request if it crashes backend servers. The caller is the service on this instance and
// the customer the one whose key was checked, whatever the request says itself. A long body is hashed on its way.
func (d *dispatch) identifySuspect() {
	options := &d.ingress.options
	if options.Suspects == nil {
		return
	}
	c := d.call
	d.suspect = &suspect.Request{
		Service:  d.service,
		Identity: suspect.Identity{Caller: options.Service, Customer: c.Customer, Method: c.Method, Host: c.Host, Target: c.Target},
		Body:     c.Body,
	}
	if c.Stream != nil {
		d.suspect.Long = suspect.NewLongBody(c.Stream, c.StreamLength, d.suspect.Identity)
		c.Stream = d.suspect.Long
	}
}

// holdSuspectBody reads a long body before it is sent if only its content tells it from that of a blocked request.
func (d *dispatch) holdSuspectBody(ctx context.Context) *refusal {
	if d.suspect == nil {
		return nil
	}
	limit := d.ingress.options.Suspects.HoldLimit(d.suspect)
	if limit == 0 {
		return nil
	}
	err := d.suspect.Long.Hold(ctx, limit, d.call.Memory.Add)
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return d.contextEnded(ctx)
	case errors.Is(err, resources.ErrNoMemory):
		return notRun(err.Error(), minRetryAfter)
	}
	return &refusal{status: http.StatusBadRequest, message: "the body cannot be read"}
}

// unblockedServers picks the backend servers for the call. If the request is blocked at the version that was picked, they are
// those of the version that the service moves from; a version that it moves to gets no more than its share. It reports whether
// the request is blocked at both.
func (d *dispatch) unblockedServers(service *routing.Service) (servers []*routing.Server, blocked bool) {
	picked := d.ingress.pickServers(service)
	if servers = d.withoutBlocked(picked); len(servers) > 0 || len(picked) == 0 {
		return servers, false
	}
	if count := len(service.Versions); count > 1 {
		servers = d.withoutBlocked(service.Versions[count-1].All())
	}
	return servers, len(servers) == 0
}

// withoutBlocked returns the backend servers at whose versions the request is not blocked.
func (d *dispatch) withoutBlocked(servers []*routing.Server) []*routing.Server {
	if d.suspect == nil || !d.ingress.options.Suspects.Active() {
		return servers
	}
	verdicts := map[string]bool{}
	var allowed []*routing.Server
	for _, server := range servers {
		blocked, known := verdicts[server.Info.Version]
		if !known {
			blocked = d.ingress.options.Suspects.Blocked(d.suspect, server.Info.Version)
			verdicts[server.Info.Version] = blocked
		}
		if !blocked {
			allowed = append(allowed, server)
		}
	}
	return allowed
}

// reportCompleted reports the response of a backend server to Suspects once it is complete, unless it is a server error.
func (d *dispatch) reportCompleted(ctx context.Context, server *routing.Server, response *exchange.Response) {
	if d.suspect == nil || response.Status >= http.StatusInternalServerError {
		return
	}
	if response.Rest == nil {
		d.ingress.options.Suspects.ReportCompleted(d.suspect, server.Info.Version)
		return
	}
	response.Rest = &observedRest{ReadCloser: response.Rest, onEnd: func(whole bool) {
		if whole {
			d.ingress.options.Suspects.ReportCompleted(d.suspect, server.Info.Version)
		} else if ctx.Err() == nil {
			d.reportBroken(ctx, server)
		}
	}}
}

// reportBroken reports to Suspects that an attempt broke off. If the backend server crashed with the call in flight, the other
// nodes are notified before the caller can retry.
func (d *dispatch) reportBroken(ctx context.Context, server *routing.Server) {
	if d.suspect != nil {
		d.ingress.options.Suspects.ReportBroken(ctx, d.suspect, server, suspect.Run{Began: d.began, Ended: d.ingress.options.Now()})
	}
}
