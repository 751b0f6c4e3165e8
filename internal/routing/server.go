package routing

import (
	"sync/atomic"

	apiv1 "samphireflow/api/v1"
)

// Server is a backend server as a node sees it. The load outlives the tables that refer to it.
type Server struct {
	Info *apiv1.BackendServer
	Load *Load
}

// Load counts what a node has under way at one backend server. All fields may be used from any goroutine.
type Load struct {
	// InFlight is the number of calls that this node has sent and that have not ended.
	InFlight atomic.Int64
	// Reported is the last load that the backend server reported on an answer: calls running at it.
	Reported atomic.Int64
}

// Registry keeps the load of each start of a backend server. It belongs to the goroutine that builds tables.
type Registry struct {
	loads map[serverKey]*Load
}

// serverKey names one start of a backend server: an address that is reused by another one has another key.
type serverKey struct {
	instance    string
	incarnation uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{loads: map[serverKey]*Load{}}
}

// Update returns the servers with their load and forgets the load of servers that are no longer listed.
func (r *Registry) Update(servers []*apiv1.BackendServer) []*Server {
	kept := make(map[serverKey]*Load, len(servers))
	list := make([]*Server, 0, len(servers))
	for _, info := range servers {
		key := serverKey{info.Instance, info.Incarnation}
		load := r.loads[key]
		if load == nil {
			load = &Load{}
		}
		kept[key] = load
		list = append(list, &Server{Info: info, Load: load})
	}
	r.loads = kept
	return list
}
