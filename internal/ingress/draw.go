package ingress

import (
	"samphireflow/internal/routing"
	"samphireflow/internal/tree"
)

// drawService chooses the service of a call by the weights of the route.
func drawService(route *routing.Route, random func() float64) string {
	split := route.Settings.Split
	if len(split) == 0 {
		return route.Config.Service
	}
	return drawPart(split, random())
}

// drawPart returns the service in whose part of the sum of the weights a number from 0 to 1 falls.
func drawPart(split tree.Split, drawn float64) string {
	total := 0.0
	for _, part := range split {
		total += part.Weight
	}
	at := drawn * total
	last := ""
	for _, part := range split {
		if part.Weight <= 0 {
			continue
		}
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
		last = part.Service
	}
	return last
}

// drawVersion chooses the backend servers of a call by the shares of the service's versions. Without shares, before the
// version of the service is known, all that are ready may take it. A version that has a share and no ready backend
// server leaves its calls to the other. The share of a new version is at most what this node's own breaker allows.
func (i *Ingress) drawVersion(service *routing.Service) []*routing.Server {
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
			shares[n] = i.guard.Limit(i.options.Now(), service.Config, v.ShareBp)
		}
		total += shares[n]
	}
	at := i.options.Random() * float64(total)
	for n := range shares {
		if shares[n] > 0 && at < float64(shares[n]) {
			return service.Versions[n].All()
		}
		at -= float64(shares[n])
	}
	return leavingOf(service)
}

// leavingOf lists the leaving backend servers of the versions that have a share.
func leavingOf(service *routing.Service) []*routing.Server {
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
