package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// stoppable is a server that can be stopped without cutting a request.
type stoppable interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
}

// listening is a server on its address.
type listening struct {
	name     string
	server   stoppable
	listener *drainListener
}

func listenFor(name, addr string, server stoppable) (*listening, error) {
	listener, err := listen(addr)
	return &listening{name: name, server: server, listener: listener}, errors.Wrapf(err, "listen on %s address", name)
}

func (l *listening) serve() error {
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s address", l.name)
}

// stop takes no new connections and waits for the requests in flight.
func (l *listening) stop(ctx context.Context) error {
	l.listener.Drain()
	return l.server.Shutdown(ctx)
}
