package snapshot

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

// drawEdit draws an edit of one branch on any level. It may be refused.
func drawEdit(t *rapid.T, view *state.View) *apiv1.BranchEdit {
	path := rapid.SampledFrom([]string{
		"/", "/sites/hobart", "/sites/burnie", "/services/s0", "/services/s1", "/services/s1/sites/hobart", "/resources/budget",
		"/services/s0/routes/r0", "/services/s0/routes/r1", "/services/s1/routes/r0",
		"/services/s0/routes/r0/sites/hobart", "/services/s1/routes/r0/sites/burnie",
	}).Draw(t, "path")
	parsed, err := tree.ParsePath(path)
	require.NoError(t, err)
	edit := &apiv1.BranchEdit{Path: path}
	if branch := view.Tree.Branch(parsed); branch != nil {
		edit.BaseVersion = branch.Version
		edit.Remove = rapid.IntRange(0, 3).Draw(t, "remove") == 0
	}
	set := func(key, value string) { edit.Changes = append(edit.Changes, &apiv1.Change{Key: key, Value: value}) }
	switch parsed.Level {
	case tree.LevelResource:
		set(tree.KeyResourceCallsRate, fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "rate")))
		return edit
	case tree.LevelRoute:
		set(tree.KeyRouteHost, "rota.example")
		set(tree.KeyRoutePrefix, "/"+parsed.Service+parsed.Route+"/")
	case tree.LevelGlobal:
		set(tree.KeyCallerIdleTimeout, fmt.Sprintf("%ds", rapid.IntRange(1, 3).Draw(t, "idle")))
	}
	key := rapid.SampledFrom([]string{tree.KeyCallTimeout, tree.KeySlowStart, tree.KeyRateLimit}).Draw(t, "key")
	if key == tree.KeyRateLimit {
		set(key, "budget")
	} else {
		set(key, fmt.Sprintf("%ds", rapid.IntRange(1, 3).Draw(t, "seconds")))
	}
	edit.Changes[len(edit.Changes)-1].Unset = rapid.Bool().Draw(t, "unset")
	return edit
}

// TestBuilderBuildsWhatAFreshBuilderBuilds makes random edits: what is taken over from earlier versions must equal what is
// built anew, and each delta must lead to the next version.
func TestBuilderBuildsWhatAFreshBuilderBuilds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := state.NewMachine()
		builder := NewBuilder("hobart")
		digester := &Digester{}
		last := builder.Build(m.View())
		for i := range rapid.IntRange(1, 30).Draw(t, "edits") {
			request := &apiv1.EditRequest{EditId: fmt.Sprint(i), Branches: []*apiv1.BranchEdit{drawEdit(t, m.View())}}
			data, err := proto.Marshal(&apiv1.Command{Kind: &apiv1.Command_Edit{Edit: request}})
			require.NoError(t, err)
			m.Apply(uint64(i), 1, data)
			next := builder.Build(m.View())
			require.True(t, proto.Equal(Build(m.View(), "hobart"), next))
			require.NoError(t, builder.Check(next))
			got, err := digester.Apply(last, Diff(last, next))
			require.NoError(t, err)
			require.True(t, proto.Equal(next, got))
			last = next
		}
	})
}

// TestBuilderTakesOverRoutesThatDoNotChange guards the cost of a change, which must not grow with the number of routes.
func TestBuilderTakesOverRoutesThatDoNotChange(t *testing.T) {
	m := state.NewMachine()
	route := func(name string) *apiv1.BranchEdit {
		return branchEdit("/services/rota/routes/"+name, 0, "route.host", "rota.example", "route.prefix", "/"+name+"/")
	}
	applyEdit(t, m, "e1", branchEdit("/services/rota", 0), route("r0"), route("r1"))
	builder := NewBuilder("hobart")
	first := builder.Build(m.View())
	applyEdit(t, m, "e2", branchEdit("/", 0, "caller.idle-timeout", "3s"), branchEdit("/services/rota/routes/r1", 1, "call.timeout", "9s"))
	second := builder.Build(m.View())
	require.Same(t, first.Routes[0], second.Routes[0])
	require.NotSame(t, first.Routes[1], second.Routes[1])
	applyEdit(t, m, "e3", branchEdit("/", 2, "call.timeout", "7s"))
	third := builder.Build(m.View())
	require.NotSame(t, second.Routes[0], third.Routes[0])
}

func TestDigesterReusesEncodingsOfUnchangedEntities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digester := &Digester{}
		last := drawSnapshot(t, 1)
		for version := uint64(1); version < 8; version++ {
			next := ShareUnchanged(last, drawSnapshot(t, version))
			require.Equal(t, Digest(next), digester.Digest(next))
			last = next
		}
	})
}

// TestUnchangedRoutesAreKeptOnceForAllVersions guards the memory of the versions that are kept as bases of deltas.
func TestUnchangedRoutesAreKeptOnceForAllVersions(t *testing.T) {
	m := state.NewMachine()
	applyEdit(t, m, "e1", branchEdit("/services/rota", 0), branchEdit("/services/rota/routes/r0", 0, "route.host", "rota.example", "route.prefix", "/r0/"))
	builder := NewBuilder("hobart")
	first := builder.Build(m.View())
	applyEdit(t, m, "e2", branchEdit("/", 0, "caller.idle-timeout", "3s"))
	second := ShareUnchanged(first, builder.Build(m.View()))
	require.Same(t, &first.Routes[0], &second.Routes[0])
}
