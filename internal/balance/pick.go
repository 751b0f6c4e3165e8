package balance

import (
	"time"
)

// spillMargin is the amount by which the cost of a remote backend server must be lower than that of a local one. It keeps
// calls from alternating between failure domains on small differences.
const spillMargin = 0.1

// Random returns a uniformly distributed number from 0 to n-1.
type Random func(n int) int

// Picker chooses a backend server of one version for one call.
type Picker struct {
	Policy *Policy
	Random Random
	Now    time.Time
	// Tried holds the instances of the backend servers that the call was already sent to.
	Tried map[string]bool
}

// Pick returns the backend server for the call. It prefers a local one, of the node's own failure domain, unless its
// utilization has reached the spill threshold and the cost of a remote one is lower by more than spillMargin. It returns
// nil when no backend server is usable.
func (p *Picker) Pick(local, remote []*Server) *Server {
	bestLocal := p.betterOfTwo(local)
	if bestLocal != nil && bestLocal.Load.Utilization(p.Now) < p.Policy.SpillThreshold {
		return bestLocal
	}
	bestRemote := p.betterOfTwo(remote)
	switch {
	case bestLocal == nil:
		return bestRemote
	case bestRemote == nil:
		return bestLocal
	}
	if p.cost(bestRemote)+spillMargin < p.cost(bestLocal) {
		return bestRemote
	}
	return bestLocal
}

// betterOfTwo returns the one with the lower cost of two random usable backend servers, nil when none is usable (power of
// two choices: Mitzenmacher, 2001).
func (p *Picker) betterOfTwo(servers []*Server) *Server {
	first := p.randomUsable(servers, nil)
	if first == nil {
		return nil
	}
	second := p.randomUsable(servers, first)
	if second != nil && p.cost(second) < p.cost(first) {
		return second
	}
	return first
}

// randomUsable returns the first usable backend server, other than except, at or after a random index. It returns nil
// when there is none.
func (p *Picker) randomUsable(servers []*Server, except *Server) *Server {
	if len(servers) == 0 {
		return nil
	}
	start := p.Random(len(servers))
	for i := range servers {
		server := servers[(start+i)%len(servers)]
		if server != except && p.usable(server) {
			return server
		}
	}
	return nil
}

// usable reports whether the call may be sent to a backend server.
func (p *Picker) usable(server *Server) bool {
	load := server.Load
	return load.HasRoom() && !load.Draining(p.Now) && !load.Ejected(p.Now) && !p.Tried[server.Info.Instance]
}

func (p *Picker) cost(server *Server) float64 {
	return server.Load.cost(p.Policy.SlowStart, p.Now)
}
