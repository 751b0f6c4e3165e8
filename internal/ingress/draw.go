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
// server leaves its calls to the other.
func drawVersion(service *routing.Service, random func() float64) (version string, servers []*routing.Server) {
	if len(service.Versions) == 0 {
		return "", service.Ready
	}
	total := uint32(0)
	for i := range service.Versions {
		if service.Versions[i].Size() > 0 {
			total += service.Versions[i].ShareBp
		}
	}
	at := random() * float64(total)
	for i := range service.Versions {
		v := &service.Versions[i]
		if v.Size() == 0 || v.ShareBp == 0 {
			continue
		}
		if at < float64(v.ShareBp) {
			return v.Name, v.All()
		}
		at -= float64(v.ShareBp)
	}
	return "", nil
}
