package daemon

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/node"
)

// PlatformOptions is how a platform meets the process, beside the project's own interface. Its zero value is no platform.
type PlatformOptions struct {
	Headers calls.Headers
	// OperatorHandler returns what a control instance serves to operators of the platform on its control address.
	OperatorHandler func(config apiv1.Config, moves apiv1.Moves) http.Handler
	// AnnounceAddr is where the backend server beside a node announces itself.
	AnnounceAddr    string
	AnnounceHandler func(n *node.Node) http.Handler
	// ReadyAddr is where the platform asks whether a node is ready.
	ReadyAddr    string
	ReadyHandler func(ready func() bool) http.Handler
}

// serveSurface serves the addresses of the platform.
func (d *Daemon) serveSurface(group *errgroup.Group, running context.Context) {
	if d.node == nil {
		return
	}
	if d.surface.AnnounceAddr != "" {
		group.Go(func() error {
			return serve(running, "announcements", d.surface.AnnounceAddr, d.surface.AnnounceHandler(d.node))
		})
	}
	if d.surface.ReadyAddr != "" {
		group.Go(func() error { return serve(running, "readiness", d.surface.ReadyAddr, d.surface.ReadyHandler(d.Ready)) })
	}
}
