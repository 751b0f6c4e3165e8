package callerconn

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"samphireflow/internal/resources"
)

// maxReadAhead is the number of unused bytes from which reading ahead pauses. While it pauses, the
// server does not notice that the caller has closed the connection.
const maxReadAhead = 32 << 10

// Conn is a connection from which a goroutine reads ahead. Its context ends when the caller has closed the connection or the
// connection has failed, even while bytes read ahead are unused, as long as there are fewer than maxReadAhead of them.
type Conn struct {
	net.Conn
	// account is nil for a connection without one.
	account *resources.Conn
	ctx     context.Context
	cancel  context.CancelCauseFunc

	mu sync.Mutex
	// data was read ahead and has not been used. err is the error that ended the reading.
	data []byte
	err  error
	// changed is closed and replaced when data, err or the deadline changes.
	changed  chan struct{}
	deadline time.Time
	timer    *time.Timer
	// received is the number of bytes that were read from the network.
	received int64
	// held is the number of bytes of data that are in the account.
	held int
	// discarding is set once nothing more of what is read is used.
	discarding bool
}

func newConn(inner net.Conn) *Conn {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &Conn{Conn: inner, account: resources.ConnOf(inner), ctx: ctx, cancel: cancel, changed: make(chan struct{})}
	go c.readAhead()
	return c
}

// Context returns a context that ends when the caller has closed the connection or the connection has failed.
func (c *Conn) Context() context.Context { return c.ctx }

// notifyLocked wakes all goroutines that wait for a change. mu must be held.
func (c *Conn) notifyLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// releaseLocked gives back the memory of data that has been used. mu must be held.
func (c *Conn) releaseLocked() {
	if unused := c.held - len(c.data); unused > 0 {
		c.held -= unused
		_ = c.account.Hold(-int64(unused))
	}
}

// readAhead reads from the connection until it ends.
func (c *Conn) readAhead() {
	buffer := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(buffer)
		// Without memory for more, reading pauses until what has been read is used.
		refused := c.account.Hold(int64(n)) != nil
		c.mu.Lock()
		c.received += int64(n)
		if !refused {
			c.held += n
		}
		if !c.discarding {
			c.data = append(c.data, buffer[:n]...)
		}
		c.releaseLocked()
		if err != nil {
			c.err = err
		}
		c.notifyLocked()
		for c.err == nil && (len(c.data) >= maxReadAhead || refused && len(c.data) > 0) {
			changed := c.changed
			c.mu.Unlock()
			<-changed
			c.mu.Lock()
		}
		ended := c.err
		c.mu.Unlock()
		if ended != nil {
			c.cancel(ended)
			return
		}
	}
}

// Read returns bytes that were read ahead. After the last of them it returns the error that ended the reading.
func (c *Conn) Read(buffer []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(c.data) > 0:
			n := copy(buffer, c.data)
			c.data = c.data[n:]
			if len(c.data) == 0 {
				c.data = nil
			}
			c.releaseLocked()
			c.notifyLocked()
			return n, nil
		case c.err != nil:
			return 0, c.err
		}
		changed := c.changed
		c.mu.Unlock()
		<-changed
		c.mu.Lock()
	}
}

// Discard drops what has been read and what will be read.
func (c *Conn) Discard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.data, c.discarding = nil, true
	c.releaseLocked()
	c.notifyLocked()
}

// Received returns the number of bytes that were read from the network.
func (c *Conn) Received() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// SetReadDeadline sets the deadline of Read. Reading ahead goes on after it.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if !deadline.IsZero() {
		if wait := time.Until(deadline); wait > 0 {
			c.timer = time.AfterFunc(wait, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.notifyLocked()
			})
		}
	}
	c.notifyLocked()
	return nil
}

// SetDeadline sets the deadlines of Read and Write.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection and ends its reading goroutine.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = io.ErrClosedPipe
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.notifyLocked()
	return err
}

// Reset closes the connection so that the caller does not take its end for that of a response. A connection without that ability is
// closed.
func (c *Conn) Reset() error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// If it fails, the connection has failed already.
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}

// end gives back what the connection holds in its account. It is called when its session has ended.
func (c *Conn) end() { c.account.End() }

// CloseWrite closes the sending direction, as net/http does before it closes a connection with unread requests. A
// connection without that ability is closed.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}
