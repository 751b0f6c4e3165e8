package routing

import "strings"

// wildcard is the suffix of a route's path that matches the path before it and everything below.
const wildcard = "/*"

// pathMatcher finds the route of a call by method and path. An exact path takes precedence over a wildcard, and a longer
// wildcard over a shorter one.
type pathMatcher struct {
	// exact and prefix hold the routes by matchKey; the keys of prefix lack the wildcard.
	exact  map[string]*Route
	prefix map[string]*Route
}

func newPathMatcher(routes []*Route) *pathMatcher {
	m := &pathMatcher{exact: map[string]*Route{}, prefix: map[string]*Route{}}
	for _, route := range routes {
		if route.Config.Path == "" {
			continue
		}
		if base, ok := strings.CutSuffix(route.Config.Path, wildcard); ok {
			m.prefix[matchKey(route.Config.Method, base)] = route
			continue
		}
		m.exact[matchKey(route.Config.Method, route.Config.Path)] = route
	}
	return m
}

func matchKey(method, path string) string {
	return method + " " + path
}

// match returns the route of a call, nil when there is none. It looks up the exact path, then the wildcards from the
// longest to the shortest, so the number of lookups depends only on the number of segments of the path.
func (m *pathMatcher) match(method, path string) *Route {
	if route := m.exact[matchKey(method, path)]; route != nil {
		return route
	}
	for {
		if route := m.prefix[matchKey(method, path)]; route != nil {
			return route
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil
		}
		path = path[:slash]
	}
}
