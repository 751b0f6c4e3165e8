package snapshot

import (
	apiv1 "samphireflow/api/v1"
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

// Apply returns the part of a snapshot that the services need: the services, their fallbacks, the routes of all these, and
// the resources that the routes refer to. Without services it returns the snapshot itself. Services that the snapshot does
// not contain are ignored. The digest of the result covers only the part.
func (f *Filter) Apply(snap *apiv1.Snapshot) *apiv1.Snapshot {
	if len(f.services) == 0 {
		return snap
	}
	needed := f.Closure(snap)
	part := &apiv1.Snapshot{Version: snap.Version, Term: snap.Term, FailureDomain: snap.FailureDomain, Assignments: snap.Assignments}
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

// Closure returns the services of the filter and all services that they fall back to, directly or through other services.
// Services that the snapshot does not contain are ignored.
func (f *Filter) Closure(snap *apiv1.Snapshot) map[string]bool {
	fallbacks := make(map[string]string, len(snap.Services))
	for _, service := range snap.Services {
		fallbacks[service.Name] = service.Fallback
	}
	needed := make(map[string]bool, len(f.services))
	for _, name := range f.services {
		for {
			fallback, exists := fallbacks[name]
			if !exists || needed[name] {
				break
			}
			needed[name] = true
			name = fallback
		}
	}
	return needed
}
