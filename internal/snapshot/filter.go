package snapshot

import (
	"slices"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// Filter reduces successive versions of a snapshot to the part that some services need. It is not safe for concurrent use.
type Filter struct {
	services []string
	digester Digester
}

// NewFilter returns a filter for the given services, or for all services if there are none.
func NewFilter(services []string) *Filter {
	return &Filter{services: services}
}

// Apply returns the part of a snapshot that the services need: the services of Closure, their routes, the resources that
// the routes refer to, and all that does not belong to a service. Without services it returns the snapshot itself. Services
// that the snapshot does not contain are ignored. The digest of the result covers only the part.
func (f *Filter) Apply(snap *apiv1.Snapshot) *apiv1.Snapshot {
	if len(f.services) == 0 {
		return snap
	}
	needed := f.Closure(snap)
	part := &apiv1.Snapshot{
		Version: snap.Version, Term: snap.Term, FailureDomain: snap.FailureDomain,
		Customers: snap.Customers, Assignments: snap.Assignments, Settings: snap.Settings,
		EvacuatedDomains: snap.EvacuatedDomains,
	}
	for _, service := range snap.Services {
		if needed[service.Name] {
			part.Services = append(part.Services, service)
		}
	}
	resources := map[string]bool{}
	for _, route := range snap.Routes {
		if needed[route.Service] {
			part.Routes = append(part.Routes, route)
			resources[route.RateLimit] = true
		}
	}
	for _, resource := range snap.Resources {
		if resources[resource.Name] {
			part.Resources = append(part.Resources, resource)
		}
	}
	part.Digest = f.digester.Digest(part)
	return part
}

// Closure returns the services of the filter and all services that their calls may go to, directly or through other
// services: those that they fall back to, and those that share their routes. Services that the snapshot does not contain
// are ignored.
func (f *Filter) Closure(snap *apiv1.Snapshot) map[string]bool {
	leadsTo := make(map[string][]string, len(snap.Services))
	for _, service := range snap.Services {
		leadsTo[service.Name] = []string{service.Fallback}
	}
	for _, route := range snap.Routes {
		for _, part := range splitOf(route) {
			leadsTo[route.Service] = append(leadsTo[route.Service], part.Service)
		}
	}
	needed := make(map[string]bool, len(f.services))
	open := slices.Clone(f.services)
	for len(open) > 0 {
		name := open[len(open)-1]
		open = open[:len(open)-1]
		if next, exists := leadsTo[name]; exists && !needed[name] {
			needed[name] = true
			open = append(open, next...)
		}
	}
	return needed
}

// splitOf returns the services that share the calls of a route, nil when there is only one.
func splitOf(route *apiv1.RouteConfig) tree.Split {
	for _, setting := range route.Settings {
		if setting.Key == tree.KeyRouteSplit {
			// Parsing cannot fail, because the value passed the schema.
			split, _ := tree.ParseSplit(setting.Value)
			return split
		}
	}
	return nil
}
