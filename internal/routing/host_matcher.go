package routing

import (
	"slices"
	"strings"
)

// hostMatcher finds the route of a call by host and path prefix. It holds the routes of each host in lower case, the
// longest prefix first.
type hostMatcher map[string][]*Route

func newHostMatcher(routes []*Route) hostMatcher {
	m := hostMatcher{}
	for _, route := range routes {
		if route.host != "" && route.prefix != "" {
			m[route.host] = append(m[route.host], route)
		}
	}
	for _, list := range m {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
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
			return candidate
		}
	}
	return nil
}
