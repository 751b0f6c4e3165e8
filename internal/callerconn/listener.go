package callerconn

import (
	"context"
	"net"
	"net/http"
)

// Listener accepts connections that are read ahead.
type Listener struct {
	net.Listener
}

// Accept returns a *Conn.
func (l Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(inner), nil
}

type connKey struct{}

// Remember is the ConnContext of an http.Server whose listener is a Listener.
func Remember(ctx context.Context, inner net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, inner)
}

// Handler ends the context of each request when its caller leaves.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := context.AfterFunc(conn.Context(), cancel)
		defer stop()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
