package netfault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Faults is the set of addresses that a process is cut off from. It is safe for use by many goroutines.
type Faults struct {
	mu    sync.Mutex
	links map[string]*link
}

// link is the way to one address; all connections to it share it.
type link struct {
	// healed is closed while the link works, and replaced by an open channel while it is cut.
	healed atomic.Pointer[chan struct{}]
}

var enabled atomic.Pointer[Faults]

// Enable turns fault injection on for the process and returns its set of cuts. Connections made before are not
// covered.
func Enable() *Faults {
	faults := &Faults{links: map[string]*link{}}
	enabled.Store(faults)
	return faults
}

// Cut replaces the set of addresses, as IP:port, that the process is cut off from.
func (f *Faults) Cut(addresses []string) {
	wanted := make(map[string]bool, len(addresses))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range addresses {
		wanted[address] = true
		f.linkLocked(address).cut()
	}
	for address, l := range f.links {
		if !wanted[address] {
			l.heal()
		}
	}
}

func (f *Faults) link(address string) *link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.linkLocked(address)
}

func (f *Faults) linkLocked(address string) *link {
	l := f.links[address]
	if l == nil {
		l = newLink()
		f.links[address] = l
	}
	return l
}

func newLink() *link {
	l := &link{}
	open := make(chan struct{})
	close(open)
	l.healed.Store(&open)
	return l
}

func (l *link) isCut() bool {
	select {
	case <-*l.healed.Load():
		return false
	default:
		return true
	}
}

func (l *link) cut() {
	if l.isCut() {
		return
	}
	healed := make(chan struct{})
	l.healed.Store(&healed)
}

func (l *link) heal() {
	if l.isCut() {
		close(*l.healed.Load())
	}
}

// wait returns when the link works, or an error when done is closed first.
func (l *link) wait(done <-chan struct{}) error {
	select {
	case <-*l.healed.Load():
		return nil
	case <-done:
		return errClosed
	}
}

var errClosed = errors.New("closed while the link was cut")

// Dialer returns a dial function for http.Transport with a timeout for each dial.
func Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return DialerWith(&net.Dialer{Timeout: timeout})
}

// DialerWith is Dialer with further options of the connections. The dialer must have a timeout.
func DialerWith(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := dialer.Timeout
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		faults := enabled.Load()
		if faults == nil {
			return dialer.DialContext(ctx, network, address)
		}
		l := faults.link(address)
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if err := l.wait(bounded.Done()); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner, link: l, closed: make(chan struct{})}, nil
	}
}
