package distribution

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

func assigned(names ...string) []*apiv1.AssignedNode {
	var nodes []*apiv1.AssignedNode
	for _, name := range names {
		nodes = append(nodes, &apiv1.AssignedNode{Instance: name})
	}
	return nodes
}

func TestFirstVersionOfANewSetNeedsBothMajorities(t *testing.T) {
	set := &apiv1.Assignment{Epoch: 2, Nodes: assigned("a", "b", "d"), Previous: assigned("a", "b", "c"), Version: 10}
	tracker := NewAckTracker("a")
	tracker.RecordHeld(10)
	tracker.RecordFloor(9)
	tracker.RecordAck("d", 10)
	require.False(t, tracker.Releasable(10, set), "a and d are not a majority of the previous set")
	tracker.RecordAck("b", 10)
	require.True(t, tracker.Releasable(10, set))
	tracker.RecordReleased(10)
	tracker.RecordHeld(11)
	tracker.RecordAck("d", 11)
	require.True(t, tracker.Releasable(11, set), "later versions need a majority of the new set only")
}

func TestRestartedRelayCountsOnlyAfterCatchingUp(t *testing.T) {
	set := &apiv1.Assignment{Epoch: 1, Nodes: assigned("a", "b", "c"), Version: 1}
	tracker := NewAckTracker("a")
	tracker.RecordHeld(5)
	tracker.RecordAck("b", 5)
	require.False(t, tracker.Releasable(5, set), "the relay has not read the control group since its start")
	tracker.RecordFloor(6)
	require.False(t, tracker.Synced(), "version 6 may have been acknowledged before the restart")
	tracker.RecordHeld(6)
	require.True(t, tracker.Synced())
	require.True(t, tracker.Releasable(5, set))
	require.False(t, tracker.Releasable(6, set))
}
