package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// TestClosedGroupWaitsLongerForItsMembers lets a member fall silent: one that is removed from a closed group stays out.
func TestClosedGroupWaitsLongerForItsMembers(t *testing.T) {
	members := &apiv1.ReplicaMembership{Members: []*apiv1.ReplicaMember{{Id: "a"}, {Id: "b", Learner: true}}}
	node := raft.New(raft.Config{ID: "a", Rand: rand.New(rand.NewPCG(1, 1))}, raft.State{Snapshot: raft.Snapshot{Index: 1, Term: 1, Membership: members}})
	for node.Role() != raft.Leader {
		node.Tick()
	}
	silent := func(timeouts int) (open, closed bool) {
		for ticks, _ := node.TicksSinceContact("b"); ticks < uint64(timeouts*raft.DefaultElectionTicks); ticks, _ = node.TicksSinceContact("b") {
			node.Tick()
		}
		return leaderView{node, raft.DefaultElectionTicks, true}.dead("b"), leaderView{node, raft.DefaultElectionTicks, false}.dead("b")
	}
	open, closed := silent(deadTimeouts)
	require.True(t, open)
	require.False(t, closed)
	_, closed = silent(closedDeadTimeouts)
	require.True(t, closed)
}
