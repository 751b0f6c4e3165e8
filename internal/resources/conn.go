package resources

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrNoMemory means that there is no memory for a request at present. The request was not handled.
var ErrNoMemory = errors.New("too many requests hold memory at present")

// maxWrite is the length of the parts of a long write, between which its progress is recorded.
const maxWrite = 64 << 10

// Conn is a connection in the account of a Keeper. A nil *Conn has no account: its methods besides those of net.Conn do nothing.
type Conn struct {
	net.Conn
	keeper *Keeper
	entry  *Entry
	// onRead is called with the bytes that were read, if it is set, and records the beginnings of requests. An error ends the
	// connection.
	onRead func(data []byte) error
	widen  sync.Once
	// widenWrites enlarges the send buffer once.
	widenWrites sync.Once
	// http2 is set once the connection is found to carry HTTP/2. writing is held by a write then.
	http2   atomic.Bool
	writing sync.Mutex
}

// ConnOf returns the connection of an account that is beneath another one, nil if there is none.
func ConnOf(c net.Conn) *Conn {
	conn, _ := c.(*Conn)
	return conn
}

// Read implements net.Conn.
//
// Over HTTP/2, nothing is read while a write waits for the client: the server keeps a frame in memory for most frames that it
// reads, and a client that does not read them could make it keep thousands.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.http2.Load() {
		c.writing.Lock()
		//lint:ignore SA2001 The lock is taken to wait for a write.
		c.writing.Unlock()
	}
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		now := time.Now()
		if c.onRead == nil {
			c.keeper.account.Begin(c.entry, now)
		}
		c.keeper.account.Moved(c.entry, n, now)
		if c.onRead != nil {
			if refused := c.onRead(buffer[:n]); refused != nil {
				return 0, refused
			}
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	if c.http2.Load() {
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	if len(data) > writeBuffer {
		c.widenWriteBuffer()
	}
	written := 0
	for {
		part := data[written:min(written+maxWrite, len(data))]
		c.keeper.account.Writing(c.entry, true, time.Now())
		n, err := c.Conn.Write(part)
		now := time.Now()
		c.keeper.account.Moved(c.entry, n, now)
		c.keeper.account.Writing(c.entry, false, now)
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// Close implements net.Conn. What the connection holds counts until End.
func (c *Conn) Close() error {
	c.keeper.account.Shut(c.entry)
	return c.Conn.Close()
}

// End gives back all that the connection holds. Its owner calls it when it has ended.
func (c *Conn) End() {
	if c != nil {
		c.keeper.account.Close(c.entry)
	}
}

// SetLinger sets what a close does with bytes that were not sent; 0 resets the connection.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// Hold adds bytes to what the connection holds; a negative number gives them back. It returns ErrNoMemory if there is no room
// for them.
func (c *Conn) Hold(bytes int64) error {
	if c == nil || bytes == 0 {
		return nil
	}
	held, victims := c.keeper.account.Hold(c.entry, bytes, time.Now())
	closeAll(victims)
	if !held && bytes > 0 {
		return ErrNoMemory
	}
	return nil
}

// HoldBuffer is Hold for a response that is passed on as it is read if there is no memory to buffer it.
func (c *Conn) HoldBuffer(bytes int64) error {
	if c == nil || bytes == 0 {
		return nil
	}
	held, victims := c.keeper.account.HoldBuffer(c.entry, bytes, time.Now())
	closeAll(victims)
	if !held {
		return ErrNoMemory
	}
	return nil
}

// Run records that the process works on further requests of the connection, or on fewer.
func (c *Conn) Run(requests int) {
	if c != nil {
		c.keeper.account.Run(c.entry, requests, time.Now())
	}
}

// Widen enlarges the receive buffer of a connection with a long body, if there is memory for it. It is called for each part of
// the body, with the number of bytes before and after it.
func (c *Conn) Widen(before, after int64) {
	if c == nil || before > longBody || after <= longBody {
		return
	}
	c.widen.Do(func() {
		tcp, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error })
		if ok && c.Hold(longBodyBuffer) == nil {
			// Without the larger buffer the body takes longer.
			_ = tcp.SetReadBuffer(longBodyBuffer)
		}
	})
}

// widenWriteBuffer enlarges the send buffer of a connection with a long response, if there is memory for it.
func (c *Conn) widenWriteBuffer() {
	c.widenWrites.Do(func() {
		tcp, ok := c.Conn.(interface{ SetWriteBuffer(bytes int) error })
		if ok && c.HoldBuffer(longWriteBuffer) == nil {
			// Without the larger buffer the response takes longer.
			_ = tcp.SetWriteBuffer(longWriteBuffer)
		}
	})
}

// beginHTTP2 takes the memory of a connection that carries HTTP/2.
func (c *Conn) beginHTTP2() error {
	c.http2.Store(true)
	return c.Hold(http2ConnCost)
}

// Begin records that a request begins whose first bytes have been read before.
func (c *Conn) Begin() {
	if c != nil {
		c.keeper.account.Begin(c.entry, time.Now())
	}
}

// Idle records that all requests of the connection are complete.
func (c *Conn) Idle() {
	if c != nil {
		c.keeper.account.Idle(c.entry, time.Now())
	}
}
