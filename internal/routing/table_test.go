package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

func TestMatchPrefersExactThenLongestWildcard(t *testing.T) {
	route := func(name, method, path string) *apiv1.RouteConfig {
		return &apiv1.RouteConfig{Name: name, Method: method, Path: path}
	}
	snap := &apiv1.Snapshot{Routes: []*apiv1.RouteConfig{
		route("all", "GET", "/*"), route("rota", "GET", "/rota/*"), route("one", "GET", "/rota/one"), route("book", "POST", "/shifts"),
	}}
	table := Build(snap, nil, NewRegistry())
	for _, c := range []struct{ method, path, want string }{
		{"GET", "/rota/one", "one"}, {"GET", "/rota/two/x", "rota"}, {"GET", "/rota", "rota"}, {"GET", "/other", "all"}, {"POST", "/shifts", "book"},
	} {
		require.Equal(t, c.want, table.Match(c.method, c.path).Config.Name, c.path)
	}
	require.Nil(t, table.Match("POST", "/rota/one"))
}

func TestBuildExcludesDrainingServersAndVersionsWithoutShare(t *testing.T) {
	server := func(instance, version string, state apiv1.ServerState) *apiv1.BackendServer {
		return &apiv1.BackendServer{Instance: instance, Service: "rota", Version: version, State: state, FailureDomain: "hobart"}
	}
	snap := &apiv1.Snapshot{FailureDomain: "hobart", Services: []*apiv1.ServiceConfig{{Name: "rota", Shares: []*apiv1.VersionShare{{Version: "v1", ShareBp: 10000}}}}}
	table := Build(snap, []*apiv1.BackendServer{
		server("a", "v1", apiv1.ServerState_SERVER_STATE_READY),
		server("b", "v1", apiv1.ServerState_SERVER_STATE_DRAINING),
		server("c", "v2", apiv1.ServerState_SERVER_STATE_READY),
	}, NewRegistry())
	require.Len(t, table.Service("rota").Versions, 1)
	require.Len(t, table.Service("rota").Versions[0].Local, 1)
}
