package proxy

import (
	"samphireflow/internal/routing"
	"samphireflow/internal/state"
)

// pickVersion chooses a backend server version by share. A version without ready backend servers passes its calls to
// the others only when it is the one that is moved to: the old version never passes calls to the new.
func pickVersion(service *routing.Service, random uint32) *routing.Version {
	if len(service.Versions) == 0 {
		return nil
	}
	first := &service.Versions[0]
	if random%state.FullShare < first.ShareBp && first.Size() > 0 {
		return first
	}
	return lastVersion(service)
}

// lastVersion is the one that is moved from, or the only one.
func lastVersion(service *routing.Service) *routing.Version {
	return &service.Versions[len(service.Versions)-1]
}
