package callerconn

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// aheadBytes is what is read ahead of a connection at most; a caller that sends more waits until it is used.
const aheadBytes = 32 << 10

// Conn is a connection that a goroutine reads ahead. Its context ends when the caller has closed it, or the connection
// has failed, whatever still waits to be read.
type Conn struct {
	net.Conn
	ctx  context.Context
	left context.CancelCauseFunc

	mu sync.Mutex
	// data was read ahead and not used yet; err is how reading ended.
	data []byte
	err  error
	// changed is closed and replaced when data, err or the deadline change.
	changed  chan struct{}
	deadline time.Time
	timer    *time.Timer
}

func newConn(inner net.Conn) *Conn {
	ctx, left := context.WithCancelCause(context.Background())
	c := &Conn{Conn: inner, ctx: ctx, left: left, changed: make(chan struct{})}
	go c.readAhead()
	return c
}

// Context ends when the caller has left.
func (c *Conn) Context() context.Context { return c.ctx }

// wake tells all who wait; guarded by mu.
func (c *Conn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Conn) readAhead() {
	buffer := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.data = append(c.data, buffer[:n]...)
		if err != nil {
			c.err = err
		}
		c.wake()
		for c.err == nil && len(c.data) >= aheadBytes {
			changed := c.changed
			c.mu.Unlock()
			<-changed
			c.mu.Lock()
		}
		ended := c.err
		c.mu.Unlock()
		if ended != nil {
			c.left(ended)
			return
		}
	}
}

// Read returns what was read ahead, and the end of the connection only after all of it.
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
			c.wake()
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

// SetReadDeadline bounds Read; what is read ahead goes on.
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
				c.wake()
			})
		}
	}
	c.wake()
	return nil
}

// SetDeadline bounds Read and Write.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection and ends its goroutine.
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
	c.wake()
	return err
}

// CloseWrite ends the sending direction, which net/http does before it closes a connection with unread requests.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}
