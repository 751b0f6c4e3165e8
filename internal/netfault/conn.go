package netfault

import (
	"net"
	"sync"
)

// conn is a connection whose bytes wait while its link is cut.
type conn struct {
	net.Conn
	link   *link
	once   sync.Once
	closed chan struct{}
}

// Read holds bytes back that arrive while the link is cut.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if cut := c.link.wait(c.closed); cut != nil {
		return 0, cut
	}
	return n, err
}

// Write waits while the link is cut.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.link.wait(c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Close ends the waits.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
