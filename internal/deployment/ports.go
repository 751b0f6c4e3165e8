package deployment

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// loopback is the address that all processes listen on.
	loopback = "127.0.0.1"
	// again finds its port free.
	firstPort = 12000
	lastPort  = 32000
)

// ports hands out free ports of the loopback interface.
type ports struct {
	next int
}

func newPorts() *ports {
	return &ports{next: firstPort + rand.IntN(lastPort-firstPort)}
}

// addr returns the IP:port of a port that is free now.
func (p *ports) addr() (string, error) {
	for range lastPort - firstPort {
		addr := net.JoinHostPort(loopback, strconv.Itoa(p.next))
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, errors.Wrap(listener.Close(), "free a port")
	}
	return "", errors.Errorf("no free port from %d to %d", firstPort, lastPort)
}
