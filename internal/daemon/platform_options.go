package daemon

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/node"
	"samphireflow/internal/resources"
)

// PlatformOptions configures the interface of the process to a platform, in addition to the project's own interface. Its
// zero value means that there is no platform.
type PlatformOptions struct {
	Headers calls.Headers
	// OperatorHandler returns the handler that serves operators of the platform on the control address of a control
	// instance.
	OperatorHandler func(config apiv1.Config, moves apiv1.Moves, evacuations apiv1.Evacuations, logger zerolog.Logger) http.Handler
	// AnnounceAddr is the address at which the backend server on a node's machine announces itself to the node.
	AnnounceAddr    string
	AnnounceHandler func(n *node.Node) http.Handler
	// ReadyAddr is the address at which the platform checks whether a node is ready.
	ReadyAddr    string
	ReadyHandler func(ready func() bool) http.Handler
}

// servePlatform starts serving the addresses that a node has only for the platform.
func (d *Daemon) servePlatform(group *errgroup.Group, running context.Context) {
	if d.node == nil {
		return
	}
	if d.platform.AnnounceAddr != "" {
		group.Go(func() error {
			return d.serve(running, resources.Announcements, d.platform.AnnounceAddr, d.platform.AnnounceHandler(d.node))
		})
	}
	if d.platform.ReadyAddr != "" {
		group.Go(func() error {
			return d.serve(running, resources.Readiness, d.platform.ReadyAddr, d.platform.ReadyHandler(d.Ready))
		})
	}
}
