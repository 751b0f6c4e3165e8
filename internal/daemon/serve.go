package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/distribution"
	"samphireflow/internal/resources"
)

const (
	// requestDrainTimeout bounds the wait for requests in flight at a planned stop. It is longer than any call may take.
	requestDrainTimeout = 65 * time.Second
	// readHeaderTimeout bounds the time in which the header of a request must arrive.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes is the largest accepted header of a request. The packed header of a call from another node fits.
	maxHeaderBytes = 128 << 10
	// maxStreams is the number of requests of one HTTP/2 connection that are handled at a time. A node has one watch and a few
	// short requests in flight.
	maxStreams = 64
)

// serve serves one address until ctx ends, then waits for the requests in flight.
func (d *Daemon) serve(ctx context.Context, class resources.Class, addr string, handler http.Handler) error {
	return d.serveCounted(ctx, class, addr, handler, func(listener net.Listener) net.Listener { return listener })
}

// serveCounted is serve with a listener that count wraps.
func (d *Daemon) serveCounted(ctx context.Context, class resources.Class, addr string, handler http.Handler, count func(net.Listener) net.Listener) error {
	name := class.Name
	listener, err := listen(addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s address", name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	server.Protocols = distribution.ServerProtocols()
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	kept := d.connections.Serve(server, count(listener), class)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(kept) }()
	select {
	case err := <-failed:
		return errors.Wrapf(err, "serve %s address", name)
	case <-ctx.Done():
	}
	listener.Drain()
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestDrainTimeout)
	defer cancel()
	return errors.Wrapf(server.Shutdown(stopping), "shut down %s address", name)
}
