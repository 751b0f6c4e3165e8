package proxy

import (
	"time"

	"samphireflow/internal/routing"
	"samphireflow/internal/state"
)

// pickVersion chooses a backend server version by share. During a move the node itself may hold the new version back
// (see package local). A version without ready backend servers passes its calls to the others only when it is the one
// that is moved to: the old version never passes calls to the new.
func (p *Proxy) pickVersion(service *routing.Service, random uint32, now time.Time) *routing.Version {
	if len(service.Versions) == 0 {
		return nil
	}
	first, last := &service.Versions[0], lastVersion(service)
	point := random % state.FullShare
	if point < first.ShareBp && first.Size() > 0 {
		held := point >= p.guard.Limit(now, service.Config, first.ShareBp)
		if !held || last.Size() == 0 {
			return first
		}
	}
	return last
}

// lastVersion is the one that is moved from, or the only one.
func lastVersion(service *routing.Service) *routing.Version {
	return &service.Versions[len(service.Versions)-1]
}
