package routing

import (
	"sort"
	"strings"

	"samphireflow/internal/tree"
)

// hostMatcher finds the route of a call by host and path prefix. It holds the routes of each host in lower case, the
// longest prefix first.
type hostMatcher map[string][]hostRoute

// hostRoute is a route with the path prefix that it matches.
type hostRoute struct {
	prefix string
	route  *Route
}

func newHostMatcher(routes []*Route) hostMatcher {
	m := hostMatcher{}
	for _, route := range routes {
		v := readValues(route.Config.Settings)
		host, prefix := strings.ToLower(v[tree.KeyRouteHost]), v[tree.KeyRoutePrefix]
		if host != "" && prefix != "" {
			m[host] = append(m[host], hostRoute{prefix, route})
		}
	}
	for _, list := range m {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	return m
}

// match returns the route of the host with the longest prefix of the path, nil when there is none. It ignores a port in
// the host.
func (m hostMatcher) match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, candidate := range m[strings.ToLower(host)] {
		if strings.HasPrefix(path, candidate.prefix) {
			return candidate.route
		}
	}
	return nil
}
