package snapshot

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
)

func applyEdit(t *testing.T, m *state.Machine, id string, branches ...*apiv1.BranchEdit) {
	t.Helper()
	data, err := proto.Marshal(&apiv1.Command{Kind: &apiv1.Command_Edit{Edit: &apiv1.EditRequest{EditId: id, Branches: branches}}})
	require.NoError(t, err)
	result := &apiv1.CommandResult{}
	require.NoError(t, proto.Unmarshal(m.Apply(1, 1, data), result))
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, result.Edit.Outcome, result.Edit)
}

func branchEdit(path string, base uint64, pairs ...string) *apiv1.BranchEdit {
	edit := &apiv1.BranchEdit{Path: path, BaseVersion: base}
	for i := 0; i < len(pairs); i += 2 {
		edit.Changes = append(edit.Changes, &apiv1.Change{Key: pairs[i], Value: pairs[i+1]})
	}
	return edit
}

func TestApplyOfDiffYieldsTheLaterSnapshot(t *testing.T) {
	m := state.NewMachine()
	applyEdit(t, m, "e1",
		branchEdit("/services/rota", 0, "service.version", "v1"),
		branchEdit("/services/rota/routes/lookup", 0, "route.method", "GET", "route.path", "/rota/*"),
		branchEdit("/services/desk", 0))
	first := Build(m.View(), "hobart")
	require.NoError(t, Check(first))
	applyEdit(t, m, "e2",
		branchEdit("/sites/hobart", 0, "call.timeout", "1s"),
		branchEdit("/resources/budget", 0, "resource.calls-per-second", "5"),
		&apiv1.BranchEdit{Path: "/services/desk", BaseVersion: 1, Remove: true})
	second := Build(m.View(), "hobart")
	got, err := Apply(first, Diff(first, second))
	require.NoError(t, err)
	require.True(t, proto.Equal(second, got))
}

func TestCheckRejectsDanglingReferenceAndWrongDigest(t *testing.T) {
	snap := &apiv1.Snapshot{Version: 1, Routes: []*apiv1.RouteConfig{{Name: "r", Service: "absent"}}}
	snap.Digest = Digest(snap)
	require.ErrorIs(t, Check(snap), ErrBadSnapshot)
	snap.Services = []*apiv1.ServiceConfig{{Name: "absent"}}
	require.ErrorIs(t, Check(snap), ErrBadSnapshot)
	snap.Digest = Digest(snap)
	require.NoError(t, Check(snap))
}
