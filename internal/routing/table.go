package routing

import (
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/customer"
)

// Service is a service with parsed settings and the backend servers that may take its calls.
type Service struct {
	Config   *apiv1.ServiceConfig
	Settings ServiceSettings
	// Versions holds the versions for which the configuration lists a share, each with its ready backend servers.
	Versions []Version
	// Ready holds the ready backend servers of all versions.
	Ready []*Server
	// Draining holds the backend servers that are announced as draining. A call may be sent to one when none is ready: the
	// node beside it refuses the call if the backend server itself is draining, and accepts it if only the node is.
	Draining []*Server
}

// Version is one version of a service.
type Version struct {
	Name string
	// ShareBp is the version's share of calls in basis points.
	ShareBp uint32
	// Local and Remote hold the ready backend servers in the node's own failure domain and in other failure domains.
	Local  []*Server
	Remote []*Server
}

// Size returns the number of ready backend servers.
func (v *Version) Size() int {
	return len(v.Local) + len(v.Remote)
}

// All returns the ready backend servers.
func (v *Version) All() []*Server {
	return append(v.Local[:len(v.Local):len(v.Local)], v.Remote...)
}

// Table holds the routes and services of one configuration version with the backend servers of each service. It is
// immutable.
type Table struct {
	Snapshot *apiv1.Snapshot
	// CallerLimits bounds the requests of callers.
	CallerLimits CallerLimits
	// Evacuated holds the failure domains whose backend servers get no calls. They are not among the servers of services.
	Evacuated map[string]bool
	// EvacuationEnds holds the times at which this node learned of the end of evacuations, by failure domain.
	EvacuationEnds map[string]time.Time
	// ServerCount is the number of announced backend servers, each of which has a node.
	ServerCount int
	// Customers holds the customers, by whose keys callers authenticate.
	Customers *customer.Directory
	services  map[string]*Service
	routes    *routeSet
	// nodeAddrs holds the control addresses that NodeAddrs returns.
	nodeAddrs []string
	nodes     []Node
}

// Build returns the table of a validated configuration snapshot and the announced backend servers. The registry keeps
// the load and statistics of backend servers, and unchanged routes, between builds.
func Build(snap *apiv1.Snapshot, servers []*apiv1.BackendServer, registry *Registry) *Table {
	t := &Table{Snapshot: snap, Evacuated: nameSet(snap.EvacuatedDomains), ServerCount: len(servers), services: make(map[string]*Service, len(snap.Services))}
	ready, draining := groupByService(servers, t.Evacuated, registry)
	for _, config := range snap.Services {
		service := buildService(config, ready[config.Name], snap.FailureDomain)
		service.Draining = draining[config.Name]
		t.services[config.Name] = service
	}
	registry.noteEvacuated(t, time.Now())
	t.routes = registry.nextRoutes(snap)
	t.Customers = registry.nextCustomers(snap).directory
	t.CallerLimits = parseCallerLimits(snap.Settings)
	t.nodeAddrs = controlAddrs(servers)
	t.nodes = listNodes(servers)
	return t
}

// controlAddrs returns the control addresses of the nodes beside the backend servers, each once.
func controlAddrs(servers []*apiv1.BackendServer) []string {
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

// NodeAddrs returns the control addresses of the nodes beside the announced backend servers. The slice must not be
// modified.
func (t *Table) NodeAddrs() []string {
	return t.nodeAddrs
}

// LongestRetention returns the longest time for which any route keeps claims.
func (t *Table) LongestRetention() time.Duration {
	return t.routes.longestRetention()
}

// groupByService updates the registry and returns the ready and the draining backend servers by the name of their
// service, without those in evacuated failure domains.
func groupByService(servers []*apiv1.BackendServer, evacuated map[string]bool, registry *Registry) (ready, draining map[string][]*Server) {
	ready, draining = map[string][]*Server{}, map[string][]*Server{}
	for _, server := range registry.Update(servers) {
		if evacuated[server.Info.FailureDomain] {
			continue
		}
		switch server.Info.State {
		case apiv1.ServerState_SERVER_STATE_READY:
			ready[server.Info.Service] = append(ready[server.Info.Service], server)
		case apiv1.ServerState_SERVER_STATE_DRAINING:
			draining[server.Info.Service] = append(draining[server.Info.Service], server)
		}
	}
	return ready, draining
}

// buildService returns a service with its ready backend servers.
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

// Match returns the route for the method and path of a call, nil when there is none.
func (t *Table) Match(method, path string) *Route {
	return t.routes.paths.match(method, path)
}

// MatchHost returns the route for the host and path of a call, nil when there is none or AmbiguousHost is true.
func (t *Table) MatchHost(host, path string) *Route {
	return t.routes.hosts.match(host, path)
}

// AmbiguousHost reports whether several routes match the host and path of a call and none of them is written with that host.
func (t *Table) AmbiguousHost(host, path string) bool {
	found := t.routes.hosts.find(host, path)
	return found != nil && found.route(host) == nil
}

// SharedRoutes lists the names of the routes that match the same calls as others, sorted.
func (t *Table) SharedRoutes() []string {
	return t.routes.hosts.shared()
}

// Service returns the service with a name, nil when there is none.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

func nameSet(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
