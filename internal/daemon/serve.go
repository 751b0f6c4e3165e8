package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/distribution"
)

const (
	// requestDrainTimeout bounds the wait for requests in flight at a planned stop. It is longer than any call may take.
	requestDrainTimeout = 65 * time.Second
	// readHeaderTimeout bounds the time in which the header of a request must arrive.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes is the largest accepted header of a request.
	maxHeaderBytes = 1 << 20
)

// serve serves one address until ctx ends, then waits for the requests in flight.
func serve(ctx context.Context, name, addr string, handler http.Handler) error {
	return serveCounted(ctx, name, addr, handler, func(listener net.Listener) net.Listener { return listener })
}

// serveCounted is serve with a listener that count wraps.
func serveCounted(ctx context.Context, name, addr string, handler http.Handler, count func(net.Listener) net.Listener) error {
	listener, err := listen(addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s address", name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	server.Protocols = distribution.ServerProtocols()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(count(listener)) }()
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
