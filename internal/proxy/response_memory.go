package proxy

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// unreservedBytes is the length up to which the body of a response is read without a reservation, so that long responses
	// do not keep out the short ones, which most are.
	unreservedBytes = 64 << 10
	// maxReservedBytes limits the bodies beyond that which a node holds at a time, in bytes: a quarter of the 64 MB that a node
	// may use. Two of the longest responses fit.
	maxReservedBytes = 2 * (maxResponseBytes + 1)
)

// errNoMemory means that a response was given up, because other long responses fill the memory that is set aside for them.
var errNoMemory = errors.New("too many long responses at a time")

// responseMemory is the memory for the bodies of long responses. It is safe for concurrent use.
type responseMemory struct {
	reserved atomic.Int64
}

// reservation is the share of a responseMemory that one call holds. It is used by the goroutine of the call only. A nil
// reservation is empty.
type reservation struct {
	memory *responseMemory
	bytes  int64
}

// extendTo reserves memory for a body of the given length in all. It fails with errNoMemory if there is not enough.
func (r *reservation) extendTo(length int64) error {
	missing := length - unreservedBytes - r.bytes
	if missing <= 0 {
		return nil
	}
	for {
		reserved := r.memory.reserved.Load()
		if reserved+missing > maxReservedBytes {
			return errNoMemory
		}
		if r.memory.reserved.CompareAndSwap(reserved, reserved+missing) {
			r.bytes += missing
			return nil
		}
	}
}

// release gives the memory back.
func (r *reservation) release() {
	if r != nil && r.bytes > 0 {
		r.memory.reserved.Add(-r.bytes)
		r.bytes = 0
	}
}

// readBody reads the body of a response, of which a length below 0 is not known. Beyond limit bytes it reads one byte more. It
// reserves memory as far as the body has arrived, whatever its header says.
func (r *reservation) readBody(from io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, errors.New("response is too long")
	}
	body := make([]byte, 0, min(max(length, 0), unreservedBytes))
	for {
		if int64(len(body)) == length {
			return body, nil
		}
		if len(body) == cap(body) {
			// Doubles like append, but never beyond what was announced.
			size := min(max(2*int64(cap(body)), minReadBuffer), limit+1)
			if length >= 0 {
				size = min(size, length)
			}
			if err := r.extendTo(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case errors.Is(err, io.EOF) && int64(len(body)) < length:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		case int64(len(body)) > limit:
			return nil, errors.New("response is too long")
		}
	}
}

// minReadBuffer is the length of the first buffer for a body of unknown length.
const minReadBuffer = 4 << 10
