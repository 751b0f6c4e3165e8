package proxy

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// countingConn is a connection that counts the bytes written to it.
type countingConn struct {
	net.Conn
	// written is increased before the bytes are sent, so that zero proves that nothing was sent.
	written atomic.Int64
	closing atomic.Bool
	once    sync.Once
	// order relates the exchanges on the connection.
	order exchangeOrder
	// onClose is called once, on the first Close; onReadError is called when a read fails before Close, mostly because the
	// other side closed the connection.
	onClose     func()
	onReadError func()
}

// Read implements net.Conn. It calls onReadError if the connection has failed.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil && !c.closing.Load() {
		c.onReadError()
	}
	return n, err
}

// Write implements net.Conn. It counts the bytes and then sends them.
func (c *countingConn) Write(data []byte) (int, error) {
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// Close implements net.Conn. The first call also calls onClose.
func (c *countingConn) Close() error {
	c.closing.Store(true)
	err := c.Conn.Close()
	c.once.Do(c.onClose)
	return err
}

// sendTracker tracks whether bytes of one attempt were sent.
type sendTracker struct {
	conn          *countingConn
	writtenBefore int64
	// retired is set if the attempt got a connection that must not be used.
	retired bool
	// connectedAt is the time at which the attempt got its connection.
	connectedAt time.Time
	trace       httptrace.ClientTrace
}

func newSendTracker() *sendTracker {
	s := &sendTracker{}
	s.trace.GotConn = s.gotConn
	return s
}

// gotConn is called when the attempt has a connection, before its first byte is written. An attempt gets only one
// connection: its body cannot be read again, so the transport does not resend it.
func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.connectedAt = time.Now()
	if c, ok := info.Conn.(*countingConn); ok {
		s.conn = c
		s.writtenBefore = c.written.Load()
		if !c.order.begin() {
			s.retired = true
			_ = c.Close()
		}
	}
}

// end ends the attempt. After a refusal without an ID, which the backend server may write again, its connection is closed.
func (s *sendTracker) end(refused bool) {
	if s.conn == nil {
		return
	}
	if refused {
		_ = s.conn.Close()
	}
	s.conn.order.end(refused)
}

// nothingSent reports whether it is certain that a failed attempt sent no byte. It closes a connection that was not written
// to, so that nothing is sent on it later.
func (s *sendTracker) nothingSent() bool {
	if s.conn == nil {
		return true
	}
	if s.conn.written.Load() != s.writtenBefore {
		return false
	}
	_ = s.conn.Close()
	return s.conn.written.Load() == s.writtenBefore
}
