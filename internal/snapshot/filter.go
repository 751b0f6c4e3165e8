package snapshot

import (
	apiv1 "samphireflow/api/v1"
)

// Filter returns the part of a snapshot that the given services need: the services, their fallbacks, the routes of all
// these, and the resources that the routes refer to. Without services it returns the snapshot itself. Services that the
// snapshot does not contain are ignored. The digest of the result covers only the part.
func Filter(snap *apiv1.Snapshot, services []string) *apiv1.Snapshot {
	if len(services) == 0 {
		return snap
	}
	needed := FallbackClosure(snap, services)
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
	part.Digest = Digest(part)
	return part
}

// FallbackClosure returns the given services of a snapshot and all services that they fall back to, directly or through
// other services. Services that the snapshot does not contain are ignored.
func FallbackClosure(snap *apiv1.Snapshot, services []string) map[string]bool {
	fallbacks := make(map[string]string, len(snap.Services))
	for _, service := range snap.Services {
		fallbacks[service.Name] = service.Fallback
	}
	needed := make(map[string]bool, len(services))
	for _, name := range services {
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
