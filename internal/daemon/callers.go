package daemon

import (
	"context"
	"time"

	"samphireflow/internal/tracing"
)

// leaveLinger is the time for which a stopping node still takes calls after it has said that it is not ready, so that
// callers can go elsewhere first.
const leaveLinger = time.Second

// serveCallers serves the caller address until the context ends, then lets the calls in flight end. It returns early
// when the rest of the process fails.
func (d *Daemon) serveCallers(ctx, running context.Context) error {
	if d.node == nil {
		waitEither(ctx, running)
		d.leaving.Store(true)
		return nil
	}
	serving, stop := context.WithCancel(running)
	defer stop()
	go func() {
		waitEither(ctx, running)
		d.leave(running)
		stop()
	}()
	return serve(serving, "caller", d.settings.CallerAddr, limitHeader(tracing.Handler("node", d.traffic.proxy)))
}

// leave tells callers, the platform and the other nodes that this node is about to stop.
func (d *Daemon) leave(running context.Context) {
	d.leaving.Store(true)
	d.node.Leave()
	d.traffic.proxy.Leave()
	timer := time.NewTimer(leaveLinger)
	defer timer.Stop()
	select {
	case <-running.Done():
	case <-timer.C:
	}
}

func waitEither(a, b context.Context) {
	select {
	case <-a.Done():
	case <-b.Done():
	}
}
