package balance

import (
	"time"
)

// spillMargin is the utilisation by which another failure domain must be better, so that calls do not swing between
// failure domains on small differences.
const spillMargin = 0.1

// Random returns an evenly distributed number from 0 to n-1.
type Random func(n int) int

// Picker chooses among the backend servers of one version for one call.
type Picker struct {
	Policy *Policy
	Random Random
	Now    time.Time
	// Tried names the backend servers that the call was sent to before.
	Tried map[string]bool
}

// Pick returns the backend server for the call: one of the own failure domain unless that is used beyond the threshold
// and a remote one is clearly better. It returns nil when none has room.
func (p *Picker) Pick(local, remote []*Server) *Server {
	own := p.betterOfTwo(local)
	if own != nil && own.Load.Utilization(p.Now) < p.Policy.SpillThreshold {
		return own
	}
	other := p.betterOfTwo(remote)
	switch {
	case own == nil:
		return other
	case other == nil:
		return own
	}
	if p.cost(other)+spillMargin < p.cost(own) {
		return other
	}
	return own
}

// betterOfTwo is the power of two choices (Mitzenmacher, 2001) among the backend servers that may take the call.
func (p *Picker) betterOfTwo(servers []*Server) *Server {
	first := p.any(servers, nil)
	if first == nil {
		return nil
	}
	second := p.any(servers, first)
	if second != nil && p.cost(second) < p.cost(first) {
		return second
	}
	return first
}

// any returns the first usable backend server from a random place on.
func (p *Picker) any(servers []*Server, except *Server) *Server {
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

func (p *Picker) usable(server *Server) bool {
	load := server.Load
	return load.HasRoom() && !load.Draining(p.Now) && !load.Ejected(p.Now) && !p.Tried[server.Info.Instance]
}

func (p *Picker) cost(server *Server) float64 {
	return server.Load.cost(p.Policy.SlowStart, p.Now)
}
