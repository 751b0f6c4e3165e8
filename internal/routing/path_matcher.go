package routing

import (
	"strings"

	apiv1 "samphireflow/api/v1"
)

// wildcard ends the path of a route that matches everything beneath it.
const wildcard = "/*"

// matcher finds the route of a call. An exact path wins over a wildcard, a longer wildcard over a shorter one.
type matcher struct {
	exact  map[string]*Route
	prefix map[string]*Route
}

func newMatcher(routes []*Route) *matcher {
	m := &matcher{exact: map[string]*Route{}, prefix: map[string]*Route{}}
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

// match takes one look-up for each segment of the path.
func (m *matcher) match(method, path string) *Route {
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

// Route is a route with its settings parsed.
type Route struct {
	Config   *apiv1.RouteConfig
	Settings RouteSettings
	// Limit bounds the rate of calls; nil for no limit.
	Limit *Resource
}
