package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"samphireflow/internal/tracing"
)

// drainLinger is the time for which a stopping node still accepts calls after it has reported that it is not ready, so
// that callers can switch to other nodes first.
const drainLinger = time.Second

// tablePollInterval is the interval at which a starting node checks for its first routing table.
const tablePollInterval = 20 * time.Millisecond

// serveCallers serves the caller address until ctx ends, then waits for the calls in flight. It stops early when running,
// the context of the rest of the process, ends because of a failure.
func (d *Daemon) serveCallers(ctx, running context.Context) error {
	if d.node == nil {
		waitEither(ctx, running)
		d.draining.Store(true)
		return nil
	}
	if err := checkAddrUnused("caller", d.settings.CallerAddr); err != nil {
		return err
	}
	if !d.awaitTable(ctx, running) {
		d.draining.Store(true)
		return nil
	}
	serving, stop := context.WithCancel(running)
	defer stop()
	go func() {
		waitEither(ctx, running)
		d.drainBeforeStop(running)
		stop()
	}()
	return d.serveCalls(serving, d.settings.CallerAddr, limitHeader(tracing.Handler("node", d.proxyTraffic.proxy)))
}

// awaitTable waits for the first routing table. A node without one accepts no connections, so that callers use another
// node. It returns false when the process stops first.
func (d *Daemon) awaitTable(ctx, running context.Context) bool {
	ticker := time.NewTicker(tablePollInterval)
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

// checkAddrUnused returns an error if the address is already in use. It is called at the start of the process, before the
// address is served, and does not listen, so that no caller can connect yet.
func checkAddrUnused(name, addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Wrapf(err, "%s address", name)
	}
	socket, err := unix.Socket(addressFamily(parsed), unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return errors.Wrapf(err, "%s address", name)
	}
	defer func() { _ = unix.Close(socket) }()
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return errors.Wrapf(err, "%s address", name)
	}
	return errors.Wrapf(unix.Bind(socket, socketAddr(parsed)), "listen on %s address %s", name, addr)
}

func addressFamily(addr netip.AddrPort) int {
	if addr.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func socketAddr(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// drainBeforeStop notifies callers, the platform and the other nodes that this node is about to stop, then waits for
// drainLinger.
func (d *Daemon) drainBeforeStop(running context.Context) {
	d.draining.Store(true)
	d.node.DrainForShutdown()
	d.proxyTraffic.proxy.Drain()
	timer := time.NewTimer(drainLinger)
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
