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
	holds := NewHolds("a")
	holds.Hold(10)
	holds.Floor(9)
	holds.Ack("d", 10)
	require.False(t, holds.Releasable(10, set), "a and d are no majority of the set before")
	holds.Ack("b", 10)
	require.True(t, holds.Releasable(10, set))
	holds.Release(10)
	holds.Hold(11)
	holds.Ack("d", 11)
	require.True(t, holds.Releasable(11, set), "later versions need the new set only")
}

func TestRestartedRelayCountsOnlyOnceItHoldsWhatWasAccepted(t *testing.T) {
	set := &apiv1.Assignment{Epoch: 1, Nodes: assigned("a", "b", "c"), Version: 1}
	holds := NewHolds("a")
	holds.Hold(5)
	holds.Ack("b", 5)
	require.False(t, holds.Releasable(5, set), "the relay has not read the control group since its start")
	holds.Floor(6)
	require.False(t, holds.Synced(), "version 6 may have been acknowledged in an earlier life")
	holds.Hold(6)
	require.True(t, holds.Synced())
	require.True(t, holds.Releasable(5, set))
	require.False(t, holds.Releasable(6, set))
}
