package ingress

import (
	"samphireflow/internal/routing"
	"samphireflow/internal/tree"
)

// pickService chooses the service of a call at random by the weights of the route's traffic split.
func pickService(route *routing.Route, random func() float64) string {
	split := route.Settings.Split
	if len(split) == 0 {
		return route.Config.Service
	}
	return pickWeighted(split, random())
}

// pickWeighted returns the service at the given point, from 0 to 1, of the sum of the weights.
func pickWeighted(split tree.Split, point float64) string {
	total := 0.0
	for _, part := range split {
		total += part.Weight
	}
	remaining := point * total
	last := ""
	for _, part := range split {
		if part.Weight <= 0 {
			continue
		}
		if remaining < part.Weight {
			return part.Service
		}
		remaining -= part.Weight
		last = part.Service
	}
	return last
}

// pickServers chooses a version of the service at random by the versions' shares and returns its backend servers. While
// the version of the service is not known, there are no shares, and all ready backend servers are returned. A version
// without a ready backend server leaves its share to the other one; if neither has one, the draining backend servers are
// returned. The share of the new version of a move, which is the first of the versions, is limited by this node's circuit
// breaker for versions.
func (i *Ingress) pickServers(service *routing.Service) []*routing.Server {
	if len(service.Versions) == 0 {
		return service.Ready
	}
	shares := make([]uint32, len(service.Versions))
	total := uint32(0)
	for n := range service.Versions {
		v := &service.Versions[n]
		if v.Size() == 0 {
			continue
		}
		shares[n] = v.ShareBp
		if n == 0 && len(service.Versions) > 1 && service.Versions[1].Size() > 0 && service.Versions[1].ShareBp > 0 {
			shares[n] = i.versionBreaker.Limit(i.options.Now(), service.Config, v.ShareBp)
		}
		total += shares[n]
	}
	remaining := i.options.Random() * float64(total)
	for n := range shares {
		if shares[n] > 0 && remaining < float64(shares[n]) {
			return service.Versions[n].All()
		}
		remaining -= float64(shares[n])
	}
	return drainingServers(service)
}

// drainingServers returns the draining backend servers of the versions that have a share.
func drainingServers(service *routing.Service) []*routing.Server {
	var list []*routing.Server
	for _, server := range service.Draining {
		for n := range service.Versions {
			if v := &service.Versions[n]; v.ShareBp > 0 && v.Name == server.Info.Version {
				list = append(list, server)
			}
		}
	}
	return list
}
