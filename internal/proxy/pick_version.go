package proxy

import (
	"time"

	"samphireflow/internal/routing"
	"samphireflow/internal/state"
)

// pickVersion picks a version of the service for the given random number, in proportion to the shares. During a move, this
// node's breaker may limit the share of the new version (see package local), unless the old one has no ready backend
// servers. If the new version has none, its calls go to the old one; calls of the old version never go to the new one.
func (p *Proxy) pickVersion(service *routing.Service, random uint32, now time.Time) *routing.Version {
	if len(service.Versions) == 0 {
		return nil
	}
	first, last := &service.Versions[0], lastVersion(service)
	point := random % state.FullShare
	if point < first.ShareBp && first.Size() > 0 {
		heldBack := point >= p.breakers.Limit(now, service.Config, first.ShareBp)
		if !heldBack || last.Size() == 0 {
			return first
		}
	}
	return last
}

// lastVersion returns the version that the service moves from, or its only version.
func lastVersion(service *routing.Service) *routing.Version {
	return &service.Versions[len(service.Versions)-1]
}
