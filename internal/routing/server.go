package routing

import (
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/balance"
	"samphireflow/internal/placement"
)

// Server is a backend server as a node sees it. The load outlives the tables that refer to it.
type Server = balance.Server

// Registry keeps the load of each start of a backend server. It belongs to the goroutine that builds tables.
type Registry struct {
	servers map[serverKey]*Server
}

// serverKey names one start of a backend server: an address that is reused by another one has another key.
type serverKey struct {
	instance    string
	incarnation uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[serverKey]*Server{}}
}

// Update returns the servers with their load and forgets the load of servers that are no longer listed.
func (r *Registry) Update(servers []*apiv1.BackendServer) []*Server {
	kept := make(map[serverKey]*Server, len(servers))
	list := make([]*Server, 0, len(servers))
	for _, info := range servers {
		key := serverKey{info.Instance, info.Incarnation}
		server := &Server{Info: info}
		if known := r.servers[key]; known != nil {
			server.Load, server.Stats = known.Load, known.Stats
		} else {
			warm := time.Now().Add(time.Duration(info.ColdMs) * time.Millisecond)
			server.Load, server.Stats = balance.NewLoad(info), placement.NewServerStats(int(info.Slots), warm)
		}
		kept[key] = server
		list = append(list, server)
	}
	r.servers = kept
	return list
}
