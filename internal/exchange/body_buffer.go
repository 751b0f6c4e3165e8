package exchange

import (
	"io"

	"github.com/pkg/errors"
)

// firstBodyBuffer is the size of the first buffer for a body of unknown length, in bytes.
const firstBodyBuffer = 4 << 10

// bodyBuffer holds the start of a body, as far as there is memory for it and at most limit bytes. It allocates what a known
// length takes, so that nothing is copied.
type bodyBuffer struct {
	limit int64
	// reserve is asked for memory before it is allocated, unless it is nil.
	reserve func(bytes int64) error
	data    []byte
}

// fill reads from a body of the given length, -1 if that is not known. It reports whether it has read the whole body.
func (b *bodyBuffer) fill(body io.Reader, length int64) (whole bool, err error) {
	size := length
	if length < 0 {
		size = firstBodyBuffer
	}
	for {
		if !b.grow(min(size, b.limit)) {
			return false, nil
		}
		for err == nil && len(b.data) < cap(b.data) {
			var n int
			n, err = body.Read(b.data[len(b.data):cap(b.data)])
			b.data = b.data[:len(b.data)+n]
		}
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		case int64(len(b.data)) == length:
			return true, nil
		case int64(len(b.data)) == b.limit:
			return false, nil
		}
		size = 2 * int64(len(b.data))
	}
}

// grow enlarges the buffer to a size. It reports false if there is no memory for it.
func (b *bodyBuffer) grow(size int64) bool {
	more := size - int64(cap(b.data))
	if more <= 0 && b.data != nil {
		return true
	}
	if b.reserve != nil && b.reserve(more) != nil {
		return false
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}
