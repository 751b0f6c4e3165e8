package callerconn

import (
	"io"
	"sync"

	"samphireflow/internal/resources"
)

// heldMemory is what a connection holds in its account for one request and its response.
type heldMemory struct {
	conn *resources.Conn

	mu    sync.Mutex
	bytes int64
}

// add returns resources.ErrNoMemory if there is no room for more bytes.
func (h *heldMemory) add(bytes int64) error {
	if err := h.conn.Hold(bytes); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += bytes
	return nil
}

func (h *heldMemory) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.conn.Hold(-h.bytes)
	h.bytes = 0
}

// bodyCopies is the number of times that the buffered part of a body is in memory while it is read.
const bodyCopies = 2

// body is the body of a request. It holds memory for the part that is buffered. While it waits for the caller, its request does
// not count as one that the process works on.
type body struct {
	io.ReadCloser
	held *heldMemory
	read int64
}

// Read returns resources.ErrNoMemory if there is no room for more.
func (b *body) Read(buffer []byte) (int, error) {
	b.held.conn.Run(-1)
	n, err := b.ReadCloser.Read(buffer)
	b.held.conn.Run(1)
	buffered := min(int64(n), max(maxBufferedBody-b.read, 0))
	b.held.conn.Widen(b.read, b.read+int64(n))
	b.read += int64(n)
	if refused := b.held.add(buffered * bodyCopies); refused != nil {
		return 0, refused
	}
	return n, err
}
