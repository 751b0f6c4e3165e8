package proxy

import (
	"math/rand/v2"

	"samphireflow/internal/routing"
	"samphireflow/internal/state"
)

// pickVersion chooses a backend server version by share. A version without ready backend servers passes its
// calls to the others only when it is the one that is moved to: the old version never passes calls to the new.
func pickVersion(service *routing.Service, random uint32) *routing.Version {
	point := random % state.FullShare
	for i := range service.Versions {
		version := &service.Versions[i]
		if point < version.ShareBp {
			if len(version.Local)+len(version.Remote) == 0 {
				return lastVersion(service)
			}
			return version
		}
		point -= version.ShareBp
	}
	return nil
}

// lastVersion is the one that is moved from, or the only one.
func lastVersion(service *routing.Service) *routing.Version {
	return &service.Versions[len(service.Versions)-1]
}

// pickServer chooses by the power of two choices on calls in flight, the node's own failure domain first.
func pickServer(version *routing.Version, skip map[string]bool) *routing.Server {
	if server := lesserOfTwo(version.Local, skip); server != nil {
		return server
	}
	return lesserOfTwo(version.Remote, skip)
}

func lesserOfTwo(servers []*routing.Server, skip map[string]bool) *routing.Server {
	candidates := servers
	if len(skip) > 0 {
		candidates = without(servers, skip)
	}
	if len(candidates) == 0 {
		return nil
	}
	first := candidates[rand.IntN(len(candidates))]
	second := candidates[rand.IntN(len(candidates))]
	if second.Load.InFlight.Load() < first.Load.InFlight.Load() {
		return second
	}
	return first
}

func without(servers []*routing.Server, skip map[string]bool) []*routing.Server {
	var kept []*routing.Server
	for _, server := range servers {
		if !skip[server.Info.Instance] {
			kept = append(kept, server)
		}
	}
	return kept
}
