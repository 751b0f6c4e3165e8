package tree

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/hostname"
)

// routePlace is where a route by host and prefix takes calls.
type routePlace struct {
	path         string
	host, prefix string
}

// PlaceFaults returns a fault for each route that matches the same calls as another one because their hosts are spellings of one
// host, and for each whose host names none.
//
// Apply does not include them: it compares hosts as they are written, because all control instances, also those of other releases
// and those that replay older entries of the log, must come to the same result. So proposals are checked before they reach the log.
func (t *Tree) PlaceFaults() []*apiv1.Fault {
	var places []routePlace
	for _, branch := range t.AtLevel(LevelRoute) {
		host, hasHost := branch.Get(KeyRouteHost)
		if prefix, hasPrefix := branch.Get(KeyRoutePrefix); hasHost && hasPrefix {
			places = append(places, routePlace{branch.Path.String(), host, prefix})
		}
	}
	return placeFaults(places)
}

// PlaceFaultsOf does the same as Tree.PlaceFaults for branches that are not part of a tree.
func PlaceFaultsOf(branches []*apiv1.Branch) []*apiv1.Fault {
	var places []routePlace
	for _, branch := range branches {
		place := routePlace{path: branch.Path}
		for _, setting := range branch.Settings {
			switch setting.Key {
			case KeyRouteHost:
				place.host = setting.Value
			case KeyRoutePrefix:
				place.prefix = setting.Value
			}
		}
		if place.host != "" && place.prefix != "" {
			places = append(places, place)
		}
	}
	return placeFaults(places)
}

func placeFaults(places []routePlace) []*apiv1.Fault {
	type key struct{ host, prefix string }
	var faults []*apiv1.Fault
	seen := make(map[key]string, len(places))
	for _, place := range places {
		host := hostname.Canonical(place.host)
		if host == "" {
			faults = append(faults, &apiv1.Fault{Path: place.path, Key: KeyRouteHost, Message: "names no host"})
			continue
		}
		at := key{host, place.prefix}
		if other, taken := seen[at]; taken {
			faults = append(faults, &apiv1.Fault{Path: place.path, Message: "matches the same calls as " + other})
			continue
		}
		seen[at] = place.path
	}
	return faults
}
