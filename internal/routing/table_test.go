package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/placement"
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

// TestBuildTakesOverUnchangedRoutes guards the cost of a build, which must not grow with the routes that stay as they are.
func TestBuildTakesOverUnchangedRoutes(t *testing.T) {
	route := func(name, timeout string) *apiv1.RouteConfig {
		return &apiv1.RouteConfig{Name: name, RateLimit: "budget", Settings: []*apiv1.Setting{
			{Key: "route.host", Value: "Rota.example"}, {Key: "route.prefix", Value: "/" + name + "/"}, {Key: "call.timeout", Value: timeout},
		}}
	}
	budget := func(rate string) []*apiv1.ResourceConfig {
		return []*apiv1.ResourceConfig{{Name: "budget", Settings: []*apiv1.Setting{{Key: "resource.calls-per-second", Value: rate}}}}
	}
	registry := NewRegistry()
	lookup := route("lookup", "1s")
	first := Build(&apiv1.Snapshot{Routes: []*apiv1.RouteConfig{route("book", "1s"), lookup}, Resources: budget("5")}, nil, registry)
	require.Same(t, first.routes, Build(first.Snapshot, nil, registry).routes, "a change of backend servers")

	second := Build(&apiv1.Snapshot{Routes: []*apiv1.RouteConfig{route("book", "2s"), lookup}, Resources: budget("5")}, nil, registry)
	require.Same(t, first.MatchHost("rota.example", "/lookup/1"), second.MatchHost("rota.example:80", "/lookup/1"))
	require.Equal(t, 2*time.Second, second.MatchHost("rota.example", "/book/1").Settings.CallTimeout)
	require.Equal(t, time.Second, first.MatchHost("rota.example", "/book/1").Settings.CallTimeout)

	third := Build(&apiv1.Snapshot{Routes: second.Snapshot.Routes, Resources: budget("7")}, nil, registry)
	require.InDelta(t, 7, third.MatchHost("rota.example", "/lookup/1").Limit.PerSecond, 0)
	fourth := Build(&apiv1.Snapshot{Resources: budget("7")}, nil, registry)
	require.Nil(t, fourth.MatchHost("rota.example", "/lookup/1"))
}

// TestEvacuatedServersGetNoCalls: neither ready nor draining backend servers of an evacuated failure domain are in the table,
// not even when no other is left.
func TestEvacuatedServersGetNoCalls(t *testing.T) {
	server := func(instance, domain string, state apiv1.ServerState) *apiv1.BackendServer {
		return &apiv1.BackendServer{Instance: instance, Service: "rota", Version: "v1", State: state, FailureDomain: domain, Slots: 4}
	}
	servers := []*apiv1.BackendServer{
		server("a", "hobart", apiv1.ServerState_SERVER_STATE_READY),
		server("b", "hobart", apiv1.ServerState_SERVER_STATE_DRAINING),
		server("c", "burnie", apiv1.ServerState_SERVER_STATE_READY),
	}
	snap := func(evacuated ...string) *apiv1.Snapshot {
		return &apiv1.Snapshot{FailureDomain: "hobart", EvacuatedDomains: evacuated, Services: []*apiv1.ServiceConfig{{
			Name: "rota", Shares: []*apiv1.VersionShare{{Version: "v1", ShareBp: 10000}},
			Settings: []*apiv1.Setting{{Key: "service.cold-start", Value: "3s"}, {Key: "service.cold-rate", Value: "12"}},
		}}}
	}
	registry := NewRegistry()
	names := func(list []*Server) []string {
		var names []string
		for _, s := range list {
			names = append(names, s.Info.Instance)
		}
		return names
	}
	table := Build(snap("hobart"), servers, registry)
	rota := table.Service("rota")
	require.Equal(t, []string{"c"}, names(rota.Ready))
	require.Empty(t, rota.Draining)
	require.Equal(t, []string{"c"}, names(rota.Versions[0].All()))
	require.Equal(t, 3, table.ServerCount, "the nodes are still there")
	require.True(t, table.Evacuated["hobart"])

	all := Build(snap("burnie", "hobart"), servers, registry).Service("rota")
	require.Empty(t, all.Ready)
	require.Empty(t, all.Versions[0].All())

	before := time.Now()
	table = Build(snap(), servers, registry)
	require.Equal(t, []string{"a", "c"}, names(table.Service("rota").Ready))
	require.Equal(t, []string{"b"}, names(table.Service("rota").Draining))
	require.WithinRange(t, table.EvacuationEnds["hobart"], before, time.Now())
	again := Build(snap(), servers, registry)
	require.Equal(t, table.EvacuationEnds, again.EvacuationEnds)
}

// TestColdServersAreAvoidedOnceTheyAreKnown: a record that tells of another coldness, and the end of an evacuation, make a node
// prefer the other backend servers; a service without a rate is served as before.
func TestColdServersAreAvoidedOnceTheyAreKnown(t *testing.T) {
	server := func(instance, domain string, coldMs uint32) *apiv1.BackendServer {
		return &apiv1.BackendServer{Instance: instance, Service: "rota", State: apiv1.ServerState_SERVER_STATE_READY, FailureDomain: domain, Slots: 4, ColdMs: coldMs}
	}
	for _, rate := range []string{"12", "0"} {
		snap := func(evacuated ...string) *apiv1.Snapshot {
			return &apiv1.Snapshot{FailureDomain: "hobart", EvacuatedDomains: evacuated, Services: []*apiv1.ServiceConfig{{
				Name: "rota", Settings: []*apiv1.Setting{{Key: "service.cold-start", Value: "3s"}, {Key: "service.cold-rate", Value: rate}},
			}}}
		}
		local := func(table *Table) bool {
			servers := table.Service("rota").Ready
			var candidates []placement.Candidate
			for _, s := range servers {
				candidates = append(candidates, placement.Candidate{Stats: s.Stats, Local: s.Info.FailureDomain == "hobart"})
			}
			return servers[placement.Choose(candidates, time.Second, func() float64 { return 0 }, time.Now())].Info.FailureDomain == "hobart"
		}
		paced := rate != "0"
		warm, other := server("a", "hobart", 0), server("b", "burnie", 0)
		registry := NewRegistry()
		require.True(t, local(Build(snap(), []*apiv1.BackendServer{warm, other}, registry)))
		require.Equal(t, !paced, local(Build(snap(), []*apiv1.BackendServer{server("a", "hobart", 3000), other}, registry)), "cold again")

		registry = NewRegistry()
		Build(snap("hobart"), []*apiv1.BackendServer{warm, other}, registry)
		require.Equal(t, !paced, local(Build(snap(), []*apiv1.BackendServer{warm, other}, registry)), "after an evacuation")
	}
}
