package snapshot

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

// drawSnapshot draws a snapshot without dangling references.
func drawSnapshot(t *rapid.T, version uint64) *apiv1.Snapshot {
	snap := &apiv1.Snapshot{Version: version, FailureDomain: "hobart"}
	services := rapid.IntRange(1, 6).Draw(t, "services")
	resources := rapid.IntRange(1, 3).Draw(t, "resources")
	for i := range resources {
		snap.Resources = append(snap.Resources, &apiv1.ResourceConfig{Name: fmt.Sprintf("budget%d", i)})
	}
	for i := range services {
		service := &apiv1.ServiceConfig{Name: fmt.Sprintf("s%d", i)}
		if rapid.Bool().Draw(t, "falls back") {
			service.Fallback = fmt.Sprintf("s%d", rapid.IntRange(0, services-1).Draw(t, "fallback"))
		}
		snap.Services = append(snap.Services, service)
		for j := range rapid.IntRange(0, 2).Draw(t, "routes") {
			route := &apiv1.RouteConfig{Name: fmt.Sprintf("s%d/r%d", i, j), Service: service.Name}
			if rapid.Bool().Draw(t, "limited") {
				route.RateLimit = fmt.Sprintf("budget%d", rapid.IntRange(0, resources-1).Draw(t, "budget"))
			}
			snap.Routes = append(snap.Routes, route)
		}
	}
	snap.Digest = Digest(snap)
	return snap
}

// TestFilterKeepsReferencedEntities filters random snapshots: each part must contain the wanted services and pass
// Check, and the delta between the parts of two versions must turn the first part into the second.
func TestFilterKeepsReferencedEntities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawSnapshot(t, 1), drawSnapshot(t, 2)
		wanted := rapid.SliceOfN(rapid.SampledFrom([]string{"s0", "s1", "s2", "s3"}), 1, 3).Draw(t, "wanted")
		filter := NewFilter(wanted)
		from, to := filter.Apply(first), filter.Apply(second)
		require.NoError(t, Check(from))
		require.NoError(t, Check(to))
		services := map[string]bool{}
		for _, service := range to.Services {
			services[service.Name] = true
		}
		for _, service := range second.Services {
			for _, name := range wanted {
				require.False(t, service.Name == name && !services[name], "%s is missing", name)
			}
		}
		got, err := Apply(from, Diff(from, to))
		require.NoError(t, err)
		require.Equal(t, to.Digest, got.Digest)
	})
}

func TestFilterKeepsSettingsOfCallers(t *testing.T) {
	snap := &apiv1.Snapshot{Services: []*apiv1.ServiceConfig{{Name: "rota"}}, Settings: []*apiv1.Setting{{Key: "caller.idle-timeout", Value: "3s"}}}
	require.Equal(t, snap.Settings, NewFilter([]string{"rota"}).Apply(snap).Settings)
}

func TestFilterKeepsServicesThatShareARoute(t *testing.T) {
	snap := &apiv1.Snapshot{
		Services: []*apiv1.ServiceConfig{{Name: "desk"}, {Name: "rota"}, {Name: "rota-next", Fallback: "spare"}, {Name: "spare"}},
		Routes:   []*apiv1.RouteConfig{{Name: "rota/lookup", Service: "rota", Settings: []*apiv1.Setting{{Key: "route.split", Value: "rota=90,rota-next=10"}}}},
	}
	filter := NewFilter([]string{"rota"})
	require.Equal(t, map[string]bool{"rota": true, "rota-next": true, "spare": true}, filter.Closure(snap))
	require.Len(t, filter.Apply(snap).Services, 3)
}
