package routing

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// Route is a route with parsed settings.
type Route struct {
	Config   *apiv1.RouteConfig
	Settings RouteSettings
	// Limit bounds the rate of calls, nil for no limit.
	Limit *Resource
	// host, as it is written in the configuration, and prefix match a call; they are empty for a route by method and path.
	host   string
	prefix string
}

func newRoute(config *apiv1.RouteConfig, limit *Resource) *Route {
	v := readValues(config.Settings)
	return &Route{
		Config:   config,
		Settings: parseRouteSettings(v),
		Limit:    limit,
		host:     v[tree.KeyRouteHost],
		prefix:   v[tree.KeyRoutePrefix],
	}
}
