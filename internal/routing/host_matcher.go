package routing

import (
	"slices"
	"strings"

	"samphireflow/internal/hostname"
)

// hostMatcher finds the route of a call by host and path prefix. It holds the places of each host by its canonical form, the
// longest prefix first.
type hostMatcher map[string][]*place

// place is a host and a path prefix with the routes there. A valid configuration has one route at each place. Earlier releases
// compared hosts as they are written and accepted several; their state may still hold them.
type place struct {
	prefix string
	routes []*Route
}

func newHostMatcher(routes []*Route) hostMatcher {
	m := hostMatcher{}
	for _, route := range routes {
		if host := hostname.Canonical(route.host); host != "" && route.prefix != "" {
			m.add(host, route)
		}
	}
	for _, list := range m {
		slices.SortFunc(list, func(a, b *place) int { return len(b.prefix) - len(a.prefix) })
	}
	return m
}

func (m hostMatcher) add(host string, route *Route) {
	for _, known := range m[host] {
		if known.prefix == route.prefix {
			known.routes = append(known.routes, route)
			return
		}
	}
	m[host] = append(m[host], &place{prefix: route.prefix, routes: []*Route{route}})
}

// find returns the place of a call: of those of its host the one with the longest prefix of the path. It is nil if there is none.
func (m hostMatcher) find(host, path string) *place {
	for _, candidate := range m[hostname.Canonical(host)] {
		if strings.HasPrefix(path, candidate.prefix) {
			return candidate
		}
	}
	return nil
}

// match returns the route of a call, nil if there is none or if it cannot be told.
func (m hostMatcher) match(host, path string) *Route {
	found := m.find(host, path)
	if found == nil {
		return nil
	}
	return found.route(host)
}

// route returns the route for calls to a host. Of several it is the one whose host is written like that of the call, or else the
// one whose host is written in the canonical form. It is nil if that tells no route: no call may go to the service of another route.
func (p *place) route(host string) *Route {
	if len(p.routes) == 1 {
		return p.routes[0]
	}
	for _, spelling := range []string{host, hostname.Canonical(host)} {
		i := slices.IndexFunc(p.routes, func(r *Route) bool { return r.host == spelling })
		if i >= 0 {
			return p.routes[i]
		}
	}
	return nil
}

// shared lists the names of the routes that are at one place with others, sorted.
func (m hostMatcher) shared() []string {
	var names []string
	for _, list := range m {
		for _, p := range list {
			if len(p.routes) == 1 {
				continue
			}
			for _, route := range p.routes {
				names = append(names, route.Config.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}
