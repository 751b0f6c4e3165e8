package routing

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// Service is a service with the backend servers that may take its calls.
type Service struct {
	Config   *apiv1.ServiceConfig
	Settings ServiceSettings
	// Versions holds the ready backend servers of each version that has a share.
	Versions []Version
	// Ready holds the ready backend servers of all versions.
	Ready []*Server
	// Draining holds those that are announced as leaving. A call may be offered to one when none is ready: the node beside
	// it refuses if the backend server itself leaves, and takes the call if only the node does.
	Draining []*Server
}

// Version is one backend server version of a service.
type Version struct {
	Name string
	// ShareBp is the share of calls in basis points.
	ShareBp uint32
	// Local and Remote are the ready backend servers of the node's own failure domain and of the others.
	Local  []*Server
	Remote []*Server
}

// Size returns the number of ready backend servers.
func (v *Version) Size() int {
	return len(v.Local) + len(v.Remote)
}

// All lists the ready backend servers.
func (v *Version) All() []*Server {
	return append(v.Local[:len(v.Local):len(v.Local)], v.Remote...)
}

// Table is what a node routes by. It is immutable.
type Table struct {
	Snapshot *apiv1.Snapshot
	matcher  *matcher
	hosts    hostMatcher
	// CallerLimits bounds what callers may send.
	CallerLimits CallerLimits
	services     map[string]*Service
	routes       []*Route
	nodes        []string
}

// Build makes the table of a checked snapshot and the announced backend servers. The registry keeps the state of
// backend servers over rebuilds.
func Build(snap *apiv1.Snapshot, servers []*apiv1.BackendServer, registry *Registry) *Table {
	t := &Table{Snapshot: snap, services: make(map[string]*Service, len(snap.Services))}
	ready, leaving := groupByService(servers, registry)
	for _, config := range snap.Services {
		service := buildService(config, ready[config.Name], snap.FailureDomain)
		service.Draining = leaving[config.Name]
		t.services[config.Name] = service
	}
	t.routes = buildRoutes(snap)
	t.matcher = newMatcher(t.routes)
	t.hosts = newHostMatcher(t.routes)
	t.CallerLimits = parseCallerLimits(snap.Settings)
	t.nodes = nodeAddrs(servers)
	return t
}

// nodeAddrs lists the control addresses of the nodes beside the backend servers.
func nodeAddrs(servers []*apiv1.BackendServer) []string {
	var addrs []string
	seen := map[string]bool{}
	for _, server := range servers {
		if addr := server.NodeControlAddr; addr != "" && !seen[addr] {
			seen[addr] = true
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// NodeAddrs lists the control addresses of the nodes beside the announced backend servers. The list must not be changed.
func (t *Table) NodeAddrs() []string {
	return t.nodes
}

// LongestRetention returns the longest time for which any route keeps claims.
func (t *Table) LongestRetention() time.Duration {
	var longest time.Duration
	for _, route := range t.routes {
		longest = max(longest, route.Settings.ClaimRetention)
	}
	return longest
}

func buildRoutes(snap *apiv1.Snapshot) []*Route {
	resources := make(map[string]*Resource, len(snap.Resources))
	for _, config := range snap.Resources {
		resources[config.Name] = parseResource(config)
	}
	routes := make([]*Route, 0, len(snap.Routes))
	for _, config := range snap.Routes {
		routes = append(routes, &Route{
			Config:   config,
			Settings: parseRouteSettings(config.Settings),
			Limit:    resources[config.RateLimit],
		})
	}
	return routes
}

// groupByService lists the backend servers of each service that are ready, and those that are leaving.
func groupByService(servers []*apiv1.BackendServer, registry *Registry) (ready, leaving map[string][]*Server) {
	ready, leaving = map[string][]*Server{}, map[string][]*Server{}
	for _, server := range registry.Update(servers) {
		switch server.Info.State {
		case apiv1.ServerState_SERVER_STATE_READY:
			ready[server.Info.Service] = append(ready[server.Info.Service], server)
		case apiv1.ServerState_SERVER_STATE_DRAINING:
			leaving[server.Info.Service] = append(leaving[server.Info.Service], server)
		}
	}
	return ready, leaving
}

func buildService(config *apiv1.ServiceConfig, servers []*Server, failureDomain string) *Service {
	service := &Service{Config: config, Settings: parseServiceSettings(config.Settings), Ready: servers}
	for _, share := range config.Shares {
		version := Version{Name: share.Version, ShareBp: share.ShareBp}
		for _, server := range servers {
			switch {
			case server.Info.Version != share.Version:
			case server.Info.FailureDomain == failureDomain:
				version.Local = append(version.Local, server)
			default:
				version.Remote = append(version.Remote, server)
			}
		}
		service.Versions = append(service.Versions, version)
	}
	return service
}

// Match finds the route of a call, nil when there is none.
func (t *Table) Match(method, path string) *Route {
	return t.matcher.match(method, path)
}

// MatchHost finds the route by host and prefix of a call, nil when there is none.
func (t *Table) MatchHost(host, path string) *Route {
	return t.hosts.match(host, path)
}

// Service returns a service by name, nil when there is none.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}
