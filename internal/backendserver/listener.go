package backendserver

import (
	"net"
	"sync"
	"time"
)

// limitListener refuses connections beyond a limit and makes each new one cost some time.
type limitListener struct {
	net.Listener
	open chan struct{}
	cost time.Duration
}

func newLimitListener(inner net.Listener, limit int, cost time.Duration) *limitListener {
	return &limitListener{Listener: inner, open: make(chan struct{}, limit), cost: cost}
}

// Accept returns the next connection within the limit; those beyond it are closed at once.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &limitConn{Conn: conn, listener: l}, nil
		default:
			conn.Close()
		}
	}
}

// limitConn is a connection that counts against the limit until it is closed.
type limitConn struct {
	net.Conn
	listener  *limitListener
	setUp     sync.Once
	closeOnce sync.Once
}

// Read waits for the cost of the connection before the first byte.
func (c *limitConn) Read(buffer []byte) (int, error) {
	c.setUp.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(buffer)
}

// Close closes the connection and frees its place.
func (c *limitConn) Close() error {
	c.closeOnce.Do(func() { <-c.listener.open })
	return c.Conn.Close()
}
