package routing

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// routeSet holds the routes of a snapshot with the indexes by which a call finds its route. It is immutable.
type routeSet struct {
	// configs is the list of which the set was made.
	configs   []*apiv1.RouteConfig
	resources map[string]*Resource
	routes    map[*apiv1.RouteConfig]*Route
	paths     *pathMatcher
	hosts     hostMatcher
}

func newRouteSet() *routeSet {
	return &routeSet{paths: newPathMatcher(nil), hosts: newHostMatcher(nil)}
}

// next returns the routes of a snapshot. It takes over what has not changed since this set was made, because most versions
// change few routes, and changes of backend servers none.
func (s *routeSet) next(snap *apiv1.Snapshot) *routeSet {
	resources, changed := s.nextResources(snap.Resources)
	if !changed && sameList(s.configs, snap.Routes) {
		return s
	}
	set := &routeSet{configs: snap.Routes, resources: resources, routes: make(map[*apiv1.RouteConfig]*Route, len(snap.Routes))}
	list := make([]*Route, 0, len(snap.Routes))
	for _, config := range snap.Routes {
		route := s.routes[config]
		if limit := resources[config.RateLimit]; route == nil || route.Limit != limit {
			route = newRoute(config, limit)
		}
		set.routes[config] = route
		list = append(list, route)
	}
	set.paths, set.hosts = newPathMatcher(list), newHostMatcher(list)
	return set
}

// nextResources returns the resources of a snapshot by name, and whether any of them differs from those of this set.
func (s *routeSet) nextResources(configs []*apiv1.ResourceConfig) (map[string]*Resource, bool) {
	resources := make(map[string]*Resource, len(configs))
	changed := len(configs) != len(s.resources)
	for _, config := range configs {
		resource := parseResource(config)
		if before := s.resources[config.Name]; before != nil && *before == *resource {
			resource = before
		} else {
			changed = true
		}
		resources[config.Name] = resource
	}
	return resources, changed
}

// sameList reports whether two slices are the same list in memory.
func sameList[E any](a, b []E) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// longestRetention returns the longest time for which any route keeps claims.
func (s *routeSet) longestRetention() time.Duration {
	var longest time.Duration
	for _, route := range s.routes {
		longest = max(longest, route.Settings.ClaimRetention)
	}
	return longest
}
