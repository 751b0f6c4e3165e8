package distribution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/snapshot"
)

// TestUnreleasedVersionsAreBounded guards against a relay that is cut off from the other relays, but not from the control
// instances, and keeps every version that it gets until a quorum holds it.
func TestUnreleasedVersionsAreBounded(t *testing.T) {
	relays := &apiv1.Assignment{FailureDomain: "north", Role: apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY, Version: 1, Epoch: 1}
	for _, name := range []string{"a", "b", "c"} {
		relays.Nodes = append(relays.Nodes, &apiv1.AssignedNode{Instance: name})
	}
	state := newRelayState(RelayOptions{FailureDomain: "north", Instance: "a"}, time.Now())
	state.recordFloor(0)
	add := func(version uint64) {
		snap := changedRoutes(version, 20)
		snap.Assignments = []*apiv1.Assignment{relays}
		snap.Digest = snapshot.Digest(snap)
		require.NoError(t, state.addVersion(snap))
	}
	for version := uint64(1); version <= 500; version++ {
		add(version)
		require.LessOrEqual(t, len(state.unreleased), maxUnreleased)
	}
	require.Nil(t, state.released.Newest())

	state.recordRelayStatus("b", true, 3, 0)
	require.EqualValues(t, 3, state.released.Newest().Version, "a relay that lags behind lets the old versions go")
	add(501)
	state.recordRelayStatus("b", true, 501, 0)
	require.EqualValues(t, 501, state.released.Newest().Version)
	require.Empty(t, state.unreleased)
}
