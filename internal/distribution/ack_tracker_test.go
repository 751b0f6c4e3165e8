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
	holds := NewAckTracker("a")
	holds.RecordHeld(10)
	holds.RecordFloor(9)
	holds.RecordAck("d", 10)
	require.False(t, holds.Releasable(10, set), "a and d are no majority of the set before")
	holds.RecordAck("b", 10)
	require.True(t, holds.Releasable(10, set))
	holds.RecordReleased(10)
	holds.RecordHeld(11)
	holds.RecordAck("d", 11)
	require.True(t, holds.Releasable(11, set), "later versions need the new set only")
}

func TestRestartedRelayCountsOnlyOnceItHoldsWhatWasAccepted(t *testing.T) {
	set := &apiv1.Assignment{Epoch: 1, Nodes: assigned("a", "b", "c"), Version: 1}
	holds := NewAckTracker("a")
	holds.RecordHeld(5)
	holds.RecordAck("b", 5)
	require.False(t, holds.Releasable(5, set), "the relay has not read the control group since its start")
	holds.RecordFloor(6)
	require.False(t, holds.Synced(), "version 6 may have been acknowledged in an earlier life")
	holds.RecordHeld(6)
	require.True(t, holds.Synced())
	require.True(t, holds.Releasable(5, set))
	require.False(t, holds.Releasable(6, set))
}
