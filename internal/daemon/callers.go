package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"samphireflow/internal/tracing"
)

// leaveLinger is the time for which a stopping node still takes calls after it has said that it is not ready, so that
// callers can go elsewhere first.
const leaveLinger = time.Second

// tableLook is the time between looks for the first routing table.
const tableLook = 20 * time.Millisecond

// serveCallers serves the caller address until the context ends, then lets the calls in flight end. It returns early
// when the rest of the process fails.
func (d *Daemon) serveCallers(ctx, running context.Context) error {
	if d.node == nil {
		waitEither(ctx, running)
		d.leaving.Store(true)
		return nil
	}
	if err := checkFree("caller", d.settings.CallerAddr); err != nil {
		return err
	}
	if !d.awaitTable(ctx, running) {
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

// awaitTable waits until there is something to route by. A node without it takes no connections, so that callers go to
// another node. It reports false when the process stops first.
func (d *Daemon) awaitTable(ctx, running context.Context) bool {
	ticker := time.NewTicker(tableLook)
	defer ticker.Stop()
	for !d.node.Ready() {
		select {
		case <-ctx.Done():
			return false
		case <-running.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// checkFree finds an address that is taken at the start of the process, before it is served. It does not listen, so
// that no caller can connect yet.
func checkFree(name, addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Wrapf(err, "%s address", name)
	}
	socket, err := unix.Socket(family(parsed), unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return errors.Wrapf(err, "%s address", name)
	}
	defer func() { _ = unix.Close(socket) }()
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return errors.Wrapf(err, "%s address", name)
	}
	return errors.Wrapf(unix.Bind(socket, sockaddr(parsed)), "listen on %s address %s", name, addr)
}

func family(addr netip.AddrPort) int {
	if addr.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func sockaddr(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// leave tells callers, the platform and the other nodes that this node is about to stop.
func (d *Daemon) leave(running context.Context) {
	d.leaving.Store(true)
	d.node.DrainForShutdown()
	d.traffic.proxy.Drain()
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
