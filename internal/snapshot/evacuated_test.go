package snapshot

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/state"
)

// TestSnapshotListsEvacuatedDomains: nodes of every failure domain learn of an evacuation, by a delta too, also when nothing else
// has changed.
func TestSnapshotListsEvacuatedDomains(t *testing.T) {
	m := state.NewMachine()
	applyEdit(t, m, "e1", branchEdit("/services/rota", 0, "service.cold-start", "3s", "service.cold-rate", "12"))
	builder := NewBuilder("burnie")
	first := builder.Build(m.View())
	require.Empty(t, first.EvacuatedDomains)
	applyEdit(t, m, "e2", branchEdit("/sites/hobart", 0, "site.evacuated", "true"), branchEdit("/sites/devonport", 0, "call.timeout", "3s"))
	second := builder.Build(m.View())
	require.Equal(t, []string{"hobart"}, second.EvacuatedDomains)
	require.NotEqual(t, first.Digest, second.Digest)
	got, err := Apply(first, Diff(first, second))
	require.NoError(t, err)
	require.Equal(t, second.EvacuatedDomains, got.EvacuatedDomains)
	applyEdit(t, m, "e3", branchEdit("/sites/hobart", 2, "site.evacuated", "false"))
	require.Empty(t, builder.Build(m.View()).EvacuatedDomains)

	settings := map[string]string{}
	for _, setting := range first.Services[0].Settings {
		settings[setting.Key] = setting.Value
	}
	require.Equal(t, "3s", settings["service.cold-start"])
	require.Equal(t, "12", settings["service.cold-rate"])
}
