package callerconn

import (
	"io"

	"samphireflow/internal/resources"
)

// bodyCopies is the number of times that the buffered part of a body is in memory while it is read.
const bodyCopies = 2

// body is the body of a request. It holds memory for the part that is buffered. While it waits for the caller, its request does
// not count as one that the process works on.
type body struct {
	io.ReadCloser
	conn   *resources.Conn
	memory *resources.Memory
	read   int64
}

// Read returns resources.ErrNoMemory if there is no room for more.
func (b *body) Read(buffer []byte) (int, error) {
	b.conn.Run(-1)
	n, err := b.ReadCloser.Read(buffer)
	b.conn.Run(1)
	buffered := min(int64(n), max(maxBufferedBody-b.read, 0))
	b.conn.Widen(b.read, b.read+int64(n))
	b.read += int64(n)
	if refused := b.memory.Add(buffered * bodyCopies); refused != nil {
		return 0, refused
	}
	return n, err
}
