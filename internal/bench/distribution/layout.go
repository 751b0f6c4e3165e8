package distribution

import (
	"fmt"
	"net/http"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/deployment"
)

const (
	// serviceCount is the number of services, and routesPerService is the number of routes of each service.
	serviceCount     = 38
	routesPerService = 5
	// relayHosts is the number of nodes in each failure domain that run as processes of their own. They start before
	// all other nodes, so the control group chooses the relays among them.
	relayHosts = 5
)

// domains lists the failure domains, two in each of two regions.
var domains = []string{"north-a", "north-b", "south-a", "south-b"}

// layout is the part of the deployment that runs as processes.
func layout() deployment.Layout {
	var hosts []string
	for _, domain := range domains {
		for range relayHosts {
			hosts = append(hosts, domain)
		}
	}
	return deployment.Layout{
		Name: "distribution",
		Domains: []deployment.Domain{
			{Name: "north-a", Region: "north"}, {Name: "north-b", Region: "north"},
			{Name: "south-a", Region: "south"}, {Name: "south-b", Region: "south"},
		},
		Services: []deployment.Service{{
			Name: "board", Version: deployment.FirstVersion, ServerDomains: hosts,
			Routes: []deployment.Route{{Name: "read", Method: http.MethodGet, Path: "/board/*", Idempotent: true}},
		}},
		ControlDomains: []string{"north-a", "north-b", "south-a", "south-b", "north-a"},
		Slots:          10,
		Connections:    130,
	}
}

// serviceName returns the name of a service that the nodes in this process announce.
func serviceName(i int) string {
	return fmt.Sprintf("service-%02d", i)
}

// serviceEdits returns the edits that create all services and their routes.
func serviceEdits() []*apiv1.BranchEdit {
	var edits []*apiv1.BranchEdit
	for i := range serviceCount {
		path := "/services/" + serviceName(i)
		edits = append(edits, &apiv1.BranchEdit{Path: path, Changes: changes("service.version", "v1")})
		for j := range routesPerService {
			edits = append(edits, &apiv1.BranchEdit{
				Path:    fmt.Sprintf("%s/routes/route-%d", path, j),
				Changes: changes("route.method", "GET", "route.path", fmt.Sprintf("/%s/%d/*", serviceName(i), j)),
			})
		}
	}
	return edits
}

// changes builds a list of changes from alternating keys and values.
func changes(pairs ...string) []*apiv1.Change {
	var list []*apiv1.Change
	for i := 0; i+1 < len(pairs); i += 2 {
		list = append(list, &apiv1.Change{Key: pairs[i], Value: pairs[i+1]})
	}
	return list
}
