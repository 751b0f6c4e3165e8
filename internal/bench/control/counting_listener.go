package control

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes that its connections carry in both directions.
type countingListener struct {
	net.Listener
	count *atomic.Int64
}

// Accept returns a connection that counts its bytes.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.count}, nil
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

// Read counts the received bytes.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.count.Add(int64(n))
	return n, err
}

// Write counts the sent bytes.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count.Add(int64(n))
	return n, err
}
