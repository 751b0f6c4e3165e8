package netfault

import (
	"net"
	"sync"
)

// conn is a connection that holds back all data while its link is cut.
type conn struct {
	net.Conn
	link   *link
	once   sync.Once
	closed chan struct{}
}

// Read holds back bytes that arrive while the link is cut.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if cut := c.link.wait(c.closed); cut != nil {
		return 0, cut
	}
	return n, err
}

// Write waits until the link is not cut.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.link.wait(c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Close closes the connection. Reads and writes that wait for the link return an error.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
