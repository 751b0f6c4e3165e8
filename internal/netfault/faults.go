package netfault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Faults holds the addresses that the process is cut off from. It is safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	links map[string]*link
}

// link is the path to one address. All connections to the address share it.
type link struct {
	// healed is a channel that is closed while the link works. A cut replaces it by an open one.
	healed atomic.Pointer[chan struct{}]
}

// active is nil until Enable is called.
var active atomic.Pointer[Faults]

// Enable turns on fault injection for the process and returns its Faults. It has no effect on connections that are already
// open.
func Enable() *Faults {
	faults := &Faults{links: map[string]*link{}}
	active.Store(faults)
	return faults
}

// Cut replaces the set of addresses (IP:port) that the process is cut off from. Addresses that are not in the new set are
// healed.
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
	closed := make(chan struct{})
	close(closed)
	l.healed.Store(&closed)
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

// wait blocks until the link works. It returns an error if done is closed first.
func (l *link) wait(done <-chan struct{}) error {
	select {
	case <-*l.healed.Load():
		return nil
	case <-done:
		return errClosed
	}
}

var errClosed = errors.New("closed while the link was cut")

// Dialer returns a dial function, for example for http.Transport, that bounds each dial by timeout.
func Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return DialerWith(&net.Dialer{Timeout: timeout})
}

// DialerWith is Dialer with the options of a net.Dialer, which must have a timeout.
func DialerWith(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := dialer.Timeout
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		faults := active.Load()
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
