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
	// maxCallerHeaderBytes is the largest header of a call that is read. The packed header of a call from another node fits.
	maxCallerHeaderBytes = 128 << 10
	// maxHeaderBytes is the largest accepted header of another request: twice of what callers commonly may send.
	maxHeaderBytes = 32 << 10
	// maxStreams is the number of requests of one HTTP/2 connection that are handled at a time. A node has one watch and a few
	// short requests in flight.
	maxStreams = 32
	// http2Window is the number of bytes that an HTTP/2 connection may send ahead of what is read of its requests. It is the
	// least that the protocol allows, and fills a link of 170 Mbit/s for 3 ms, a round trip between failure domains.
	http2Window = 64 << 10
	// http2Frame is the longest accepted HTTP/2 frame, in bytes: the server has a buffer of the length that a frame announces.
	http2Frame = 16 << 10
	// http2Table is the size of the tables of compressed header fields of an HTTP/2 connection, in bytes: the protocol's default.
	http2Table = 4 << 10
)

// http2Config bounds what an HTTP/2 connection holds beside its requests.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReadFrameSize:              http2Frame,
		MaxReceiveBufferPerConnection: http2Window,
		MaxReceiveBufferPerStream:     http2Window,
		MaxDecoderHeaderTableSize:     http2Table,
		MaxEncoderHeaderTableSize:     http2Table,
	}
}

// serve serves one address by HTTP/1 until ctx ends, then waits for the requests in flight.
func (d *Daemon) serve(ctx context.Context, class resources.Class, addr string, handler http.Handler) error {
	return d.serveBy(ctx, &http.Server{Handler: handler}, class, addr, func(listener net.Listener) net.Listener { return listener })
}

// serveCalls is serve for the calls of callers.
func (d *Daemon) serveCalls(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Handler: handler, MaxHeaderBytes: maxCallerHeaderBytes}
	return d.serveBy(ctx, server, resources.Callers, addr, func(listener net.Listener) net.Listener { return listener })
}

// serveInstances is serve for an address that other instances use too, by HTTP/2 without TLS. Count wraps the listener.
func (d *Daemon) serveInstances(ctx context.Context, class resources.Class, addr string, handler http.Handler, count func(net.Listener) net.Listener) error {
	return d.serveBy(ctx, &http.Server{Handler: handler, Protocols: distribution.ServerProtocols(), HTTP2: http2Config()}, class, addr, count)
}

func (d *Daemon) serveBy(ctx context.Context, server *http.Server, class resources.Class, addr string, count func(net.Listener) net.Listener) error {
	name := class.Name
	listener, err := listen(addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s address", name)
	}
	server.ReadHeaderTimeout = readHeaderTimeout
	if server.MaxHeaderBytes == 0 {
		server.MaxHeaderBytes = maxHeaderBytes
	}
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
