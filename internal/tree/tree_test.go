package tree

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

func editRequest(branches ...*apiv1.BranchEdit) *apiv1.EditRequest {
	return &apiv1.EditRequest{EditId: "e", Operator: "op", Branches: branches}
}

func branchEdit(path string, base uint64, pairs ...string) *apiv1.BranchEdit {
	branch := &apiv1.BranchEdit{Path: path, BaseVersion: base}
	for i := 0; i < len(pairs); i += 2 {
		branch.Changes = append(branch.Changes, &apiv1.Change{Key: pairs[i], Value: pairs[i+1]})
	}
	return branch
}

func mustApply(t *testing.T, tree *Tree, version uint64, branches ...*apiv1.BranchEdit) *Tree {
	t.Helper()
	next, conflicts, faults := tree.Apply(editRequest(branches...), version)
	require.Empty(t, conflicts)
	require.Empty(t, faults)
	return next
}

func TestResolvePrefersMostSpecificBranch(t *testing.T) {
	tree := mustApply(t, New(), 1,
		branchEdit("/", 0, KeyCallTimeout, "3s"),
		branchEdit("/sites/hobart", 0, KeyCallTimeout, "4s"),
		branchEdit("/services/rota", 0),
		branchEdit("/services/rota/routes/lookup", 0, KeyRouteMethod, "GET", KeyRoutePath, "/rota/*"))
	lookup := Path{Level: LevelRouteSite, Service: "rota", Route: "lookup", Site: "hobart"}
	got, _ := tree.Resolve(lookup, KeyCallTimeout)
	require.Equal(t, "4s", got.Value)
	require.Equal(t, "/sites/hobart", got.Branch)

	tree = mustApply(t, tree, 2, branchEdit("/services/rota", 1, KeyCallTimeout, "1s"))
	got, _ = tree.Resolve(lookup, KeyCallTimeout)
	require.Equal(t, "1s", got.Value)
	require.Equal(t, uint64(2), got.Version)
}

func TestApplyListsAllFaults(t *testing.T) {
	_, _, faults := New().Apply(editRequest(
		branchEdit("/", 0, "no.such", "1", KeyRetryLimit, "99", KeyCallTimeout, "soon"),
		branchEdit("/services/rota", 0, KeyFallback, "absent")), 1)
	require.Len(t, faults, 4)
}

func TestApplyReportsConflictingBranch(t *testing.T) {
	tree := mustApply(t, New(), 1, branchEdit("/", 0, KeyRetryLimit, "1"))
	_, conflicts, _ := tree.Apply(editRequest(branchEdit("/", 0, KeyRetryLimit, "3")), 2)
	require.Len(t, conflicts, 1)
	require.Equal(t, uint64(1), conflicts[0].CurrentVersion)
	require.Equal(t, "1", conflicts[0].Current[0].Value)
}

func TestRemoveDeletesDescendants(t *testing.T) {
	tree := mustApply(t, New(), 1, branchEdit("/services/rota", 0),
		branchEdit("/services/rota/routes/lookup", 0, KeyRouteMethod, "GET", KeyRoutePath, "/rota"))
	tree = mustApply(t, tree, 2, &apiv1.BranchEdit{Path: "/services/rota", BaseVersion: 1, Remove: true})
	require.Len(t, tree.Branches(), 1)
}
