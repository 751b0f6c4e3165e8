package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// gracefulServer is a server that can be stopped without interrupting requests.
type gracefulServer interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
}

// listeningServer is a server together with the listener that it serves.
type listeningServer struct {
	name     string
	server   gracefulServer
	listener *drainListener
	// kept is the listener with the account of its connections.
	kept net.Listener
}

func newListeningServer(name, addr string, server gracefulServer) (*listeningServer, error) {
	listener, err := listen(addr)
	return &listeningServer{name: name, server: server, listener: listener}, errors.Wrapf(err, "listen on %s address", name)
}

func (l *listeningServer) serve() error {
	err := l.server.Serve(l.kept)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s address", l.name)
}

// stop closes the listener and waits for the requests in flight.
func (l *listeningServer) stop(ctx context.Context) error {
	l.listener.Drain()
	return l.server.Shutdown(ctx)
}
