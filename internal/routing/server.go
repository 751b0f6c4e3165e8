package routing

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/balance"
)

// Server is a backend server as a node sees it. The load outlives the tables that refer to it.
type Server = balance.Server

// Registry keeps the load of each start of a backend server. It belongs to the goroutine that builds tables.
type Registry struct {
	servers map[serverKey]*balance.Load
}

// serverKey names one start of a backend server: an address that is reused by another one has another key.
type serverKey struct {
	instance    string
	incarnation uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[serverKey]*balance.Load{}}
}

// Update returns the servers with their load and forgets the load of servers that are no longer listed.
func (r *Registry) Update(servers []*apiv1.BackendServer) []*Server {
	kept := make(map[serverKey]*balance.Load, len(servers))
	list := make([]*Server, 0, len(servers))
	for _, info := range servers {
		key := serverKey{info.Instance, info.Incarnation}
		load := r.servers[key]
		if load == nil {
			load = balance.NewLoad(info)
		}
		kept[key] = load
		list = append(list, &Server{Info: info, Load: load})
	}
	r.servers = kept
	return list
}
