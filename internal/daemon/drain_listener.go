package daemon

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"samphireflow/internal/resources"
)

const (
	// drainQuietPeriod is the time without a new connection after which a draining listener closes.
	drainQuietPeriod = 5 * time.Millisecond
	// maxDrainTime bounds the drain of a listener that keeps receiving new connections.
	maxDrainTime = time.Second
)

// drainListener is a TCP listener that Drain closes only once no connection is queued. Otherwise the kernel would reset
// the queued connections, some of which may already carry a request.
//
// Invariant: after Drain, Accept itself closes the listener as soon as no connection has arrived for drainQuietPeriod, so
// that little time passes between the last check of the queue and the close.
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
	tcp := listener.(*net.TCPListener)
	// Not every system supports it; then its own bounds hold.
	_ = resources.LimitBuffers(tcp)
	return &drainListener{TCPListener: tcp, closed: make(chan struct{})}, nil
}

// Accept returns the next connection, or net.ErrClosed once the listener has drained.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.draining.Load() {
		return conn, err
	}
	// Drain, or an earlier call of Accept, set the deadline that ended the wait.
	if err := l.SetDeadline(time.Now().Add(drainQuietPeriod)); err != nil {
		return nil, err
	}
	conn, err = l.TCPListener.Accept()
	if err == nil {
		// Let the next call time out at once, so that it waits for drainQuietPeriod again.
		return conn, l.SetDeadline(time.Now())
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// Drain makes Accept return the queued connections and then close the listener. It returns once the listener is closed,
// or after maxDrainTime.
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

// Close closes the listener. Calls after the first one do nothing.
func (l *drainListener) Close() error {
	var err error
	l.once.Do(func() {
		err = l.TCPListener.Close()
		close(l.closed)
	})
	return err
}
