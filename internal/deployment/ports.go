package deployment

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	// loopback is the address that all processes listen on.
	loopback = "127.0.0.1"
	// The ports are below the range 32768 to 60999 from which Linux by default assigns ports to outgoing connections,
	// so that a process that is started again finds its port free.
	firstPort = 12000
	lastPort  = 32000
)

// ports allocates free ports of the loopback interface. It returns a port again only after all others.
type ports struct {
	mu   sync.Mutex
	next int
}

// sharedPorts is shared by all deployments of this process, so that two that start at the same time get different
// ports.
var sharedPorts = newPorts()

// newPorts starts at a random port, so that deployments of different processes rarely try the same ports.
func newPorts() *ports {
	return &ports{next: firstPort + rand.IntN(lastPort-firstPort)}
}

// freeAddr returns the IP:port of a port that is currently free.
func (p *ports) freeAddr() (string, error) {
	for range lastPort - firstPort {
		addr := net.JoinHostPort(loopback, strconv.Itoa(p.nextPort()))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, errors.Wrap(listener.Close(), "release a port")
	}
	return "", errors.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// nextPort returns the next port, free or not; after the last port it starts over.
func (p *ports) nextPort() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	port := p.next
	p.next++
	if p.next >= lastPort {
		p.next = firstPort
	}
	return port
}
