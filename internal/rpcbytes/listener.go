package rpcbytes

import "net"

// Listener counts all bytes of the connections that it accepts from next.
func (c *Counter) Listener(next net.Listener) net.Listener {
	return countingListener{next, c.byMethod[connections]}
}

type countingListener struct {
	net.Listener
	counts *directions
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.counts}, nil
}

type countingConn struct {
	net.Conn
	counts *directions
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counts.received.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counts.sent.Add(uint64(n))
	return n, err
}
