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
	// again finds its port free.
	firstPort = 12000
	lastPort  = 32000
)

// ports hands out free ports of the loopback interface, each one once.
type ports struct {
	mu   sync.Mutex
	next int
}

// processPorts is shared by the deployments of this process, so that two that start at the same time differ.
var processPorts = newPorts()

func newPorts() *ports {
	return &ports{next: firstPort + rand.IntN(lastPort-firstPort)}
}

// addr returns the IP:port of a port that is free now.
func (p *ports) addr() (string, error) {
	for range lastPort - firstPort {
		addr := net.JoinHostPort(loopback, strconv.Itoa(p.take()))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, errors.Wrap(listener.Close(), "free a port")
	}
	return "", errors.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// take returns the next port in turn.
func (p *ports) take() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	port := p.next
	p.next++
	if p.next >= lastPort {
		p.next = firstPort
	}
	return port
}
