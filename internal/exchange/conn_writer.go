package exchange

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errBrokenWhileWriting means that a connection failed while the request was still being written.
var errBrokenWhileWriting = errors.New("the connection failed before the end of the answer")

// connWriter writes to a connection and keeps the error of a write that failed. The kernel reports the failure of a connection once:
// if a write takes the error, a read that follows returns a regular end.
type connWriter struct {
	netConn net.Conn
	// mu is held during each write.
	mu  sync.Mutex
	err error
}

// Write implements io.Writer.
func (w *connWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.netConn.Write(data)
	if w.err == nil {
		w.err = err
	}
	return n, err
}

// confirmEnd returns an error if the connection has failed, although a read has returned a regular end. It ends a write that is in
// progress, because that may be about to take the error.
func (w *connWriter) confirmEnd() error {
	// Without the deadline the write could wait for ever for a server that reads no more.
	_ = w.netConn.SetWriteDeadline(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	if isFailure(w.err) {
		return errors.Wrap(errBrokenWhileWriting, w.err.Error())
	}
	return nil
}

// isFailure reports whether the error of a write says that the connection has failed. EPIPE is the error after the other side has
// closed the connection regularly and takes nothing more.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
