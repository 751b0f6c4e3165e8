package rpcbytes

import (
	"net"
	"sync/atomic"
)

// Listener counts all bytes of the connections that it accepts from next.
func (c *Counter) Listener(next net.Listener) net.Listener {
	counts := c.byMethod[connections]
	return CountConnections(next, &counts.received, &counts.sent)
}

// CountConnections returns a listener that adds the bytes of the connections that it accepts from next to two counters,
// which may be the same one.
func CountConnections(next net.Listener, received, sent *atomic.Uint64) net.Listener {
	return countingListener{next, received, sent}
}

type countingListener struct {
	net.Listener
	received, sent *atomic.Uint64
}

// Accept returns a connection that counts its bytes.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.received, l.sent}, nil
}

type countingConn struct {
	net.Conn
	received, sent *atomic.Uint64
}

// Read counts the received bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// Write counts the sent bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}
