package snapshot

import (
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// ErrBadSnapshot is wrapped by the errors of Check and Apply.
var ErrBadSnapshot = errors.New("snapshot refused")

// Check verifies that a snapshot is complete: its digest matches, and every service and resource that a route or
// service refers to is in the snapshot.
func Check(snap *apiv1.Snapshot) error {
	return (&Digester{}).Check(snap)
}

// Check does the same as the function Check.
func (d *Digester) Check(snap *apiv1.Snapshot) error {
	if snap.Digest != d.Digest(snap) {
		return errors.Wrapf(ErrBadSnapshot, "version %d: digest does not match", snap.Version)
	}
	services := map[string]bool{}
	for _, service := range snap.Services {
		services[service.Name] = true
	}
	resources := map[string]bool{}
	for _, resource := range snap.Resources {
		resources[resource.Name] = true
	}
	for _, service := range snap.Services {
		if service.Fallback != "" && !services[service.Fallback] {
			return errors.Wrapf(ErrBadSnapshot, "version %d: service %s refers to missing service %s", snap.Version, service.Name, service.Fallback)
		}
	}
	for _, route := range snap.Routes {
		if !services[route.Service] {
			return errors.Wrapf(ErrBadSnapshot, "version %d: route %s refers to missing service %s", snap.Version, route.Name, route.Service)
		}
		if route.RateLimit != "" && !resources[route.RateLimit] {
			return errors.Wrapf(ErrBadSnapshot, "version %d: route %s refers to missing resource %s", snap.Version, route.Name, route.RateLimit)
		}
	}
	return nil
}
