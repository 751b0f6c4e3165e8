package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// TestDeadTimeoutIsLongerInClosedGroup checks how long a member must be silent before it counts as dead. A closed group
// waits longer because a member that it removes does not join again by itself.
func TestDeadTimeoutIsLongerInClosedGroup(t *testing.T) {
	members := &apiv1.ReplicaMembership{Members: []*apiv1.ReplicaMember{{Id: "a"}, {Id: "b", Learner: true}}}
	node := raft.New(raft.Config{ID: "a", Rand: rand.New(rand.NewPCG(1, 1))}, raft.State{Snapshot: raft.Snapshot{Index: 1, Term: 1, Membership: members}})
	for node.Role() != raft.Leader {
		node.Tick()
	}
	deadAfter := func(timeouts int) (open, closed bool) {
		for ticks, _ := node.TicksSinceContact("b"); ticks < uint64(timeouts*raft.DefaultElectionTicks); ticks, _ = node.TicksSinceContact("b") {
			node.Tick()
		}
		return leaderHealth{node, raft.DefaultElectionTicks, true}.dead("b"), leaderHealth{node, raft.DefaultElectionTicks, false}.dead("b")
	}
	open, closed := deadAfter(openDeadTimeouts)
	require.True(t, open)
	require.False(t, closed)
	_, closed = deadAfter(closedDeadTimeouts)
	require.True(t, closed)
}
