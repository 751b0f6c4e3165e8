package routing

import (
	"maps"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/balance"
	"samphireflow/internal/placement"
)

// Server is a backend server as one node knows it. Its load and statistics are kept when a new table is built.
type Server = balance.Server

// Registry keeps the load and statistics of each incarnation of a backend server, and the routes, between builds of the
// table. It is not safe for concurrent use; the goroutine that builds tables owns it.
type Registry struct {
	servers map[serverKey]*Server
	routes  *routeSet
	// customers are those of the last table.
	customers *customerSet
	// evacuated holds the evacuated failure domains of the last table.
	evacuated map[string]bool
	// evacuationEnds is Table.EvacuationEnds of the last table. It is replaced, never modified.
	evacuationEnds map[string]time.Time
}

// serverKey identifies one incarnation of a backend server. After a restart the backend server has another key, as has
// another one that reuses its address, so neither inherits the load and statistics of the previous incarnation.
type serverKey struct {
	instance    string
	incarnation uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[serverKey]*Server{}, routes: newRouteSet()}
}

// nextRoutes returns the routes of a snapshot and keeps them for the next build.
func (r *Registry) nextRoutes(snap *apiv1.Snapshot) *routeSet {
	r.routes = r.routes.next(snap)
	return r.routes
}

// nextCustomers returns the customers of a snapshot and keeps them for the next build.
func (r *Registry) nextCustomers(snap *apiv1.Snapshot) *customerSet {
	r.customers = r.customers.next(snap.Customers)
	return r.customers
}

// Update returns the servers with their load and statistics, and removes those of servers that are no longer listed.
func (r *Registry) Update(servers []*apiv1.BackendServer) []*Server {
	kept := make(map[serverKey]*Server, len(servers))
	list := make([]*Server, 0, len(servers))
	for _, info := range servers {
		key := serverKey{info.Instance, info.Incarnation}
		server := &Server{Info: info}
		if known := r.servers[key]; known != nil {
			server.Load, server.Stats = known.Load, known.Stats
			if info.ColdMs != known.Info.ColdMs {
				server.Stats.MarkCold(time.Now().Add(time.Duration(info.ColdMs) * time.Millisecond))
			}
		} else {
			coldUntil := time.Now().Add(time.Duration(info.ColdMs) * time.Millisecond)
			server.Load, server.Stats = balance.NewLoad(info), placement.NewServerStats(int(info.Slots), coldUntil)
		}
		kept[key] = server
		list = append(list, server)
	}
	r.servers = kept
	return list
}

// noteEvacuated records which evacuations have ended since the last table. The backend servers of those failure domains may
// have become cold while they got no calls, so they are taken for cold.
func (r *Registry) noteEvacuated(t *Table, now time.Time) {
	ends := maps.Clone(r.evacuationEnds)
	for domain := range r.evacuated {
		if !t.Evacuated[domain] {
			if ends == nil {
				ends = map[string]time.Time{}
			}
			ends[domain] = now
		}
	}
	r.evacuated, r.evacuationEnds, t.EvacuationEnds = t.Evacuated, ends, ends
	for _, service := range t.services {
		rate := service.Settings.ColdRate
		for _, server := range service.Ready {
			server.Stats.SetColdRate(rate)
			if end, ended := ends[server.Info.FailureDomain]; ended && rate > 0 {
				server.Stats.MarkCold(end.Add(service.Settings.ColdStart))
			}
		}
	}
}
