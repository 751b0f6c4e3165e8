package raft

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

const awaitRounds = 200

func startGroup(t *testing.T, voters, spares int) (*cluster, *member) {
	c := newCluster(t, 1, voters, spares, Config{})
	return c, c.awaitLeader(awaitRounds, nil)
}

// notTo and notFrom cut one direction of a member's messages.
func notTo(id string) func(*apiv1.ReplicationMessage) bool {
	return func(message *apiv1.ReplicationMessage) bool { return message.To != id }
}

func notFrom(id string) func(*apiv1.ReplicationMessage) bool {
	return func(message *apiv1.ReplicationMessage) bool { return message.From != id }
}

func TestMemberThatHearsNothingDoesNotUnseatLeader(t *testing.T) {
	c, leader := startGroup(t, 3, 0)
	term := leader.node.Term()
	var deaf *member
	for _, m := range c.members {
		if m != leader {
			deaf = m
		}
	}
	for i := 0; i < awaitRounds; i++ {
		c.round(notTo(deaf.id))
	}
	for i := 0; i < DefaultElectionTicks; i++ {
		c.round(nil)
	}
	require.Equal(t, Leader, leader.node.Role())
	require.Equal(t, term, leader.node.Term())
}

// TestGroupThatStartsAtOnceElectsSoon starts groups of which no member has run before the others.
func TestGroupThatStartsAtOnceElectsSoon(t *testing.T) {
	const ticks = 20
	inTime := 0
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(t, seed, 3, 0, Config{ElectionTicks: ticks, HeartbeatTicks: ticks / 4})
		for range ticks {
			c.round(nil)
		}
		for _, m := range c.members {
			if m.node.Role() == Leader {
				inTime++
			}
		}
	}
	require.GreaterOrEqual(t, inTime, 18, "within the shortest election timeout, but for split votes")
}

// TestMemberThatStartsLeavesTheLeader starts a member again and again beside a working leader.
func TestMemberThatStartsLeavesTheLeader(t *testing.T) {
	c, leader := startGroup(t, 3, 0)
	term := leader.node.Term()
	for _, m := range c.members {
		if m == leader {
			continue
		}
		m.down = true
		c.start(m)
		for range 3 * DefaultElectionTicks {
			c.round(nil)
		}
		require.Equal(t, Leader, leader.node.Role())
		require.Equal(t, term, leader.node.Term())
	}
}

func TestLeaderThatHearsNothingStepsDown(t *testing.T) {
	c, leader := startGroup(t, 3, 0)
	for i := 0; i <= 2*DefaultElectionTicks; i++ {
		c.round(notTo(leader.id))
	}
	require.NotEqual(t, Leader, leader.node.Role())
	next := c.awaitLeader(awaitRounds, notTo(leader.id))
	require.NotEqual(t, leader.id, next.id)
}

func TestSilentLeaderIsReplaced(t *testing.T) {
	c, leader := startGroup(t, 5, 0)
	term := leader.node.Term()
	for i := 0; i < awaitRounds; i++ {
		c.round(notFrom(leader.id))
	}
	require.NotEqual(t, leader.id, c.leader().id)
	require.Greater(t, c.leader().node.Term(), term)
}

func TestChangeOfTwoMembersIsRefused(t *testing.T) {
	c, leader := startGroup(t, 3, 2)
	c.round(nil)
	next := proto.Clone(leader.node.Membership()).(*apiv1.ReplicaMembership)
	next.Members = append(next.Members, &apiv1.ReplicaMember{Id: "n3", Learner: true}, &apiv1.ReplicaMember{Id: "n4", Learner: true})
	_, _, err := leader.node.ProposeMembership(next)
	require.ErrorIs(t, err, ErrInvalidMembershipChange)
	next.Members = next.Members[:1]
	_, _, err = leader.node.ProposeMembership(next)
	require.ErrorIs(t, err, ErrInvalidMembershipChange)
}

func TestChangeWaitsForAnEntryOfTheLeadersTerm(t *testing.T) {
	c, first := startGroup(t, 3, 1)
	c.round(nil)
	for i := 0; i < awaitRounds && (c.leader() == nil || c.leader() == first); i++ {
		c.round(func(message *apiv1.ReplicationMessage) bool {
			isAnswer := message.Kind == apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY
			return message.From != first.id && message.To != first.id && !isAnswer
		})
	}
	second := c.leader()
	require.NotEqual(t, first.id, second.id)
	next := proto.Clone(second.node.Membership()).(*apiv1.ReplicaMembership)
	next.Members = append(next.Members, &apiv1.ReplicaMember{Id: "n3", Learner: true})
	_, _, err := second.node.ProposeMembership(next)
	require.ErrorIs(t, err, ErrMembershipChangePending)
}

func TestLearnerVotesOnlyAfterItCaughtUp(t *testing.T) {
	c, leader := startGroup(t, 3, 1)
	c.round(nil)
	c.change(leader, "n3")
	for i := 0; i < 2*maxLearnerLag; i++ {
		c.propose(leader)
		c.round(notTo("n3"))
	}
	voter := proto.Clone(leader.node.Membership()).(*apiv1.ReplicaMembership)
	voter.Members[3].Learner = false
	_, _, err := leader.node.ProposeMembership(voter)
	require.ErrorIs(t, err, ErrLearnerBehind)
	for i := 0; i < awaitRounds && c.members[3].node.Applied() < leader.node.Applied(); i++ {
		c.round(nil)
	}
	_, _, err = leader.node.ProposeMembership(voter)
	require.NoError(t, err)
}

func TestRemovedLeaderStepsDownAndStaysOut(t *testing.T) {
	c, leader := startGroup(t, 3, 0)
	c.round(nil)
	c.change(leader, leader.id)
	for i := 0; i < awaitRounds; i++ {
		c.round(nil)
	}
	require.NotEqual(t, Leader, leader.node.Role())
	require.NotNil(t, c.leader())
	require.Len(t, c.leader().node.Membership().Members, 2)
}
