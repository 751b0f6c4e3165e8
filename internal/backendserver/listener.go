package backendserver

import (
	"net"
	"sync"
	"time"
)

// limitListener bounds the number of open connections and delays the first read from each of them.
type limitListener struct {
	net.Listener
	// openConns holds one element for each open connection; its capacity is the limit.
	openConns chan struct{}
	cost      time.Duration
}

func newLimitListener(inner net.Listener, limit int, cost time.Duration) *limitListener {
	return &limitListener{Listener: inner, openConns: make(chan struct{}, limit), cost: cost}
}

// Accept returns the next connection within the limit. It closes connections beyond the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.openConns <- struct{}{}:
			return &limitConn{Conn: conn, listener: l}, nil
		default:
			conn.Close()
		}
	}
}

// limitConn is a connection that counts towards the limit until it is closed.
type limitConn struct {
	net.Conn
	listener  *limitListener
	setupOnce sync.Once
	closeOnce sync.Once
}

// Read sleeps for the connection cost before the first read.
func (c *limitConn) Read(buffer []byte) (int, error) {
	c.setupOnce.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(buffer)
}

// Close closes the connection, which no longer counts towards the limit.
func (c *limitConn) Close() error {
	c.closeOnce.Do(func() { <-c.listener.openConns })
	return c.Conn.Close()
}
