package daemon

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quietTime is the time without a new connection after which a draining listener closes.
	quietTime = 5 * time.Millisecond
	// maxDrainTime bounds the drain of a listener whose callers do not stop coming.
	maxDrainTime = time.Second
)

// drainListener closes only when no connection waits to be accepted: one that the kernel has taken, and perhaps a
// request on it, would be reset.
//
// Invariant: after Drain, Accept itself closes the listener as soon as it has waited for quietTime in vain, so that
// little time passes between the last look at the queue and the close.
type drainListener struct {
	*net.TCPListener
	draining atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

func listen(addr string) (*drainListener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &drainListener{TCPListener: listener.(*net.TCPListener), closed: make(chan struct{})}, nil
}

// Accept returns the next connection, net.ErrClosed once the listener has drained.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.draining.Load() {
		return conn, err
	}
	// The wait was ended by Drain, or by the deadline of a wait before.
	if err := l.SetDeadline(time.Now().Add(quietTime)); err != nil {
		return nil, err
	}
	conn, err = l.TCPListener.Accept()
	if err == nil {
		// The next wait is to end at once, so that it comes by here again.
		return conn, l.SetDeadline(time.Now())
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// Drain lets what waits be accepted and the listener be closed then. It returns when that is done.
func (l *drainListener) Drain() {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now())
	timer := time.NewTimer(maxDrainTime)
	defer timer.Stop()
	select {
	case <-l.closed:
	case <-timer.C:
	}
}

// Close closes the listener, once.
func (l *drainListener) Close() error {
	var err error
	l.once.Do(func() {
		err = l.TCPListener.Close()
		close(l.closed)
	})
	return err
}
