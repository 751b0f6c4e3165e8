package proxy

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection that counts the bytes handed to it.
type conn struct {
	net.Conn
	// written counts before the bytes are handed on, so that zero proves that nothing was sent.
	written atomic.Int64
	closing atomic.Bool
	once    sync.Once
	// closed is called once, broke when the other side ended the connection first.
	closed func()
	broke  func()
}

// Read reads and notices the end of the connection.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil && !c.closing.Load() {
		c.broke()
	}
	return n, err
}

// Write counts the bytes, then sends them.
func (c *conn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// Close closes the connection and tells its owner once.
func (c *conn) Close() error {
	c.closing.Store(true)
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}

// sending watches which bytes of one attempt were sent.
type sending struct {
	conn   *conn
	before int64
	// at is the time at which the attempt had its connection.
	at    time.Time
	trace httptrace.ClientTrace
}

func newSending() *sending {
	s := &sending{}
	s.trace.GotConn = s.gotConn
	return s
}

// gotConn is called when the attempt has got its connection and before its first byte is written. An attempt gets one
// connection: its body cannot be read again, so the transport does not repeat it.
func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.at = time.Now()
	if c, ok := info.Conn.(*conn); ok {
		s.conn = c
		s.before = c.written.Load()
	}
}

// nothingSent reports whether a failed attempt certainly sent no byte. It closes a connection that was not written to,
// so that nothing is sent later either.
func (s *sending) nothingSent() bool {
	if s.conn == nil {
		return true
	}
	if s.conn.written.Load() != s.before {
		return false
	}
	_ = s.conn.Close()
	return s.conn.written.Load() == s.before
}
