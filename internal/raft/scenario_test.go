package raft

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// maxTicks limits the ticks in which a test waits for a change in the group.
const maxTicks = 200

func startGroup(t *testing.T, voters, nonMembers int) (*cluster, *member) {
	c := newCluster(t, 1, voters, nonMembers, Config{})
	return c, c.awaitLeader(maxTicks, nil)
}

// exceptTo returns a filter that drops all messages to a member.
func exceptTo(id string) func(*apiv1.ReplicationMessage) bool {
	return func(message *apiv1.ReplicationMessage) bool { return message.To != id }
}

// exceptFrom returns a filter that drops all messages from a member.
func exceptFrom(id string) func(*apiv1.ReplicationMessage) bool {
	return func(message *apiv1.ReplicationMessage) bool { return message.From != id }
}

func TestMemberWithoutInboundMessagesDoesNotDisruptLeader(t *testing.T) {
	c, leader := startGroup(t, 3, 0)
	term := leader.node.Term()
	var isolated *member
	for _, m := range c.members {
		if m != leader {
			isolated = m
		}
	}
	for i := 0; i < maxTicks; i++ {
		c.tickAndDeliver(exceptTo(isolated.id))
	}
	for i := 0; i < DefaultElectionTicks; i++ {
		c.tickAndDeliver(nil)
	}
	require.Equal(t, Leader, leader.node.Role())
	require.Equal(t, term, leader.node.Term())
}

// TestSimultaneousStartElectsLeaderWithinElectionTimeout guards against a group whose members start together and wait a
// whole election timeout for a leader that does not exist.
func TestSimultaneousStartElectsLeaderWithinElectionTimeout(t *testing.T) {
	const ticks = 20
	inTime := 0
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(t, seed, 3, 0, Config{ElectionTicks: ticks, HeartbeatTicks: ticks / 4})
		for range ticks {
			c.tickAndDeliver(nil)
		}
		for _, m := range c.members {
			if m.node.Role() == Leader {
				inTime++
			}
		}
	}
	require.GreaterOrEqual(t, inTime, 18, "groups with a leader within the shortest election timeout; split votes may delay the others")
}

// TestRestartedMemberDoesNotDisruptLeader guards against a restarted member that deposes a working leader by campaigning
// after its short first election timeout.
func TestRestartedMemberDoesNotDisruptLeader(t *testing.T) {
	c, leader := startGroup(t, 3, 0)
	term := leader.node.Term()
	for _, m := range c.members {
		if m == leader {
			continue
		}
		m.down = true
		c.start(m)
		for range 3 * DefaultElectionTicks {
			c.tickAndDeliver(nil)
		}
		require.Equal(t, Leader, leader.node.Role())
		require.Equal(t, term, leader.node.Term())
	}
}

func TestLeaderWithoutInboundMessagesStepsDown(t *testing.T) {
	c, leader := startGroup(t, 3, 0)
	for i := 0; i <= 2*DefaultElectionTicks; i++ {
		c.tickAndDeliver(exceptTo(leader.id))
	}
	require.NotEqual(t, Leader, leader.node.Role())
	next := c.awaitLeader(maxTicks, exceptTo(leader.id))
	require.NotEqual(t, leader.id, next.id)
}

func TestLeaderWithoutOutboundMessagesIsReplaced(t *testing.T) {
	c, leader := startGroup(t, 5, 0)
	term := leader.node.Term()
	for i := 0; i < maxTicks; i++ {
		c.tickAndDeliver(exceptFrom(leader.id))
	}
	require.NotEqual(t, leader.id, c.leader().id)
	require.Greater(t, c.leader().node.Term(), term)
}

func TestMembershipChangeOfTwoMembersIsRejected(t *testing.T) {
	c, leader := startGroup(t, 3, 2)
	c.tickAndDeliver(nil)
	next := proto.Clone(leader.node.Membership()).(*apiv1.ReplicaMembership)
	next.Members = append(next.Members, &apiv1.ReplicaMember{Id: "n3", Learner: true}, &apiv1.ReplicaMember{Id: "n4", Learner: true})
	_, _, err := leader.node.ProposeMembership(next)
	require.ErrorIs(t, err, ErrInvalidMembershipChange)
	next.Members = next.Members[:1]
	_, _, err = leader.node.ProposeMembership(next)
	require.ErrorIs(t, err, ErrInvalidMembershipChange)
}

// TestMembershipChangeRequiresCommittedEntryOfCurrentTerm drops all append replies, so that the second leader cannot commit
// an entry of its own term.
func TestMembershipChangeRequiresCommittedEntryOfCurrentTerm(t *testing.T) {
	c, first := startGroup(t, 3, 1)
	c.tickAndDeliver(nil)
	for i := 0; i < maxTicks && (c.leader() == nil || c.leader() == first); i++ {
		c.tickAndDeliver(func(message *apiv1.ReplicationMessage) bool {
			isAppendReply := message.Kind == apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY
			return message.From != first.id && message.To != first.id && !isAppendReply
		})
	}
	second := c.leader()
	require.NotEqual(t, first.id, second.id)
	next := proto.Clone(second.node.Membership()).(*apiv1.ReplicaMembership)
	next.Members = append(next.Members, &apiv1.ReplicaMember{Id: "n3", Learner: true})
	_, _, err := second.node.ProposeMembership(next)
	require.ErrorIs(t, err, ErrMembershipChangePending)
}

func TestLearnerIsPromotedOnlyAfterCatchingUp(t *testing.T) {
	c, leader := startGroup(t, 3, 1)
	c.tickAndDeliver(nil)
	c.proposeMembershipChange(leader, "n3")
	for i := 0; i < 2*maxLearnerLag; i++ {
		c.propose(leader)
		c.tickAndDeliver(exceptTo("n3"))
	}
	voter := proto.Clone(leader.node.Membership()).(*apiv1.ReplicaMembership)
	voter.Members[3].Learner = false
	_, _, err := leader.node.ProposeMembership(voter)
	require.ErrorIs(t, err, ErrLearnerBehind)
	for i := 0; i < maxTicks && c.members[3].node.Applied() < leader.node.Applied(); i++ {
		c.tickAndDeliver(nil)
	}
	_, _, err = leader.node.ProposeMembership(voter)
	require.NoError(t, err)
}

func TestRemovedLeaderStepsDownAndIsNotReelected(t *testing.T) {
	c, leader := startGroup(t, 3, 0)
	c.tickAndDeliver(nil)
	c.proposeMembershipChange(leader, leader.id)
	for i := 0; i < maxTicks; i++ {
		c.tickAndDeliver(nil)
	}
	require.NotEqual(t, Leader, leader.node.Role())
	require.NotNil(t, c.leader())
	require.Len(t, c.leader().node.Membership().Members, 2)
}

// TestRetainedEntriesAreBoundedByBytes guards against a log that fills the memory with large entries that only slow members
// could still need, because their number alone was bounded.
func TestRetainedEntriesAreBoundedByBytes(t *testing.T) {
	const entryBytes, retainedBytes = 1000, 5500
	c := newCluster(t, 1, 3, 0, Config{RetainedBytes: retainedBytes})
	leader := c.awaitLeader(maxTicks, nil)
	for range 50 {
		_, _, err := leader.node.Propose(make([]byte, entryBytes))
		require.NoError(t, err)
		c.tickAndDeliver(nil)
	}
	for _, m := range c.members {
		c.compact(m)
		retained := 0
		for _, entry := range m.node.log.slice(m.node.log.baseIndex, m.node.log.snapshot.Index) {
			retained += len(entry.Data)
		}
		require.LessOrEqual(t, retained, retainedBytes)
		require.GreaterOrEqual(t, retained, retainedBytes-entryBytes, "as much as the limit allows is kept for slow members")
	}
	before := leader.node.Applied()
	_, _, err := leader.node.Propose([]byte("next"))
	require.NoError(t, err)
	c.tickAndDeliver(nil)
	c.tickAndDeliver(nil)
	require.Greater(t, leader.node.Applied(), before)
}

// TestUncommittedEntriesAreBoundedByBytes guards against a leader without a quorum whose memory fills with large proposals.
func TestUncommittedEntriesAreBoundedByBytes(t *testing.T) {
	c := newCluster(t, 1, 3, 0, Config{MaxUncommittedBytes: 2500})
	leader := c.awaitLeader(maxTicks, nil)
	c.tickAndDeliver(nil)
	for range 2 {
		_, _, err := leader.node.Propose(make([]byte, 1000))
		require.NoError(t, err)
	}
	_, _, err := leader.node.Propose(make([]byte, 1000))
	require.ErrorIs(t, err, ErrTooManyUncommitted)
	for range DefaultElectionTicks {
		c.tickAndDeliver(nil)
	}
	_, _, err = leader.node.Propose(make([]byte, 3000))
	require.NoError(t, err, "one entry of any size is accepted")
}
