package raft

import (
	"sort"

	apiv1 "samphireflow/api/v1"
)

// Node is one member of the Raft group.
type Node struct {
	cfg    Config
	term   uint64
	vote   string
	role   Role
	leader string
	log    *entryLog
	ticks  uint64
	// electionElapsed counts the ticks since the election timer was reset: by a message from the leader, a granted vote,
	// a change of role or, on a leader, the last quorum check.
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	// leaderContactTick is the tick of the last message from a leader.
	leaderContactTick uint64
	votes             map[string]bool
	progress          map[string]*progress
	readQueue         readQueue
	incomingSnapshot  *incomingSnapshot
	persistedState    HardState
	immediateMessages []*apiv1.ReplicationMessage
	messages          []*apiv1.ReplicationMessage
	confirmedReads    []Read
}

// New returns a node that starts as a follower with the persisted state.
func New(cfg Config, state State) *Node {
	n := &Node{cfg: cfg.withDefaults(), log: newEntryLog(state)}
	n.term, n.vote = state.HardState.Term, state.HardState.Vote
	n.persistedState = n.hardState()
	if last := n.log.lastTerm(); last > n.term {
		// The instance stopped after it persisted entries of a term and before it persisted the term itself.
		n.term, n.vote = last, ""
	}
	n.becomeFollower(n.term, "")
	n.electionTimeout = n.startupElectionTimeout()
	return n
}

// startupElectionTimeout returns the first election timeout after a start. It is shorter than later ones, because a group
// whose members all start at once has no leader to wait for. It does not endanger a working leader, whose followers
// refuse the pre-vote as they do for any member that has lost contact with the leader.
func (n *Node) startupElectionTimeout() int {
	return n.cfg.ElectionTicks/4 + n.cfg.Rand.IntN(n.cfg.ElectionTicks/2+1)
}

// ID returns the ID of the node.
func (n *Node) ID() string { return n.cfg.ID }

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Leader returns the ID of the leader, or an empty string when none is known.
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.log.committed }

// Applied returns the index of the last applied entry.
func (n *Node) Applied() uint64 { return n.log.applied }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// Membership returns the newest membership in the log. It must not be changed.
func (n *Node) Membership() *apiv1.ReplicaMembership { return n.log.latestMembership() }

// MembershipCommitted reports whether the newest membership in the log is committed.
func (n *Node) MembershipCommitted() bool { return n.log.latestMembershipIndex() <= n.log.committed }

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// Ticks returns the number of calls of Tick so far.
func (n *Node) Ticks() uint64 { return n.ticks }

// LastContactTick returns the tick of the last message from a leader. On a leader, it returns the latest tick since which
// a quorum has replied.
func (n *Node) LastContactTick() uint64 {
	if n.role != Leader {
		return n.leaderContactTick
	}
	return quorumValue(n.voterValues(func(p *progress) uint64 { return p.lastContactTick }))
}

// TicksSinceContact returns the number of ticks since a member last replied to this leader. The second result is false when
// id is not a member or this node is not the leader.
func (n *Node) TicksSinceContact(id string) (uint64, bool) {
	p := n.progress[id]
	if p == nil {
		return 0, false
	}
	return n.ticks - p.lastContactTick, true
}

// CaughtUp reports whether a learner has caught up, so that this leader may promote it to voter.
func (n *Node) CaughtUp(id string) bool {
	return n.caughtUp(id)
}

// Tick advances the node's logical clock by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed < n.electionTimeout {
		return
	}
	n.resetElectionTimer()
	n.campaign()
}

func (n *Node) tickLeader() {
	if self := n.progress[n.cfg.ID]; self != nil {
		self.lastContactTick = n.ticks
	}
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		if !n.checkQuorum() {
			n.becomeFollower(n.term, "")
			return
		}
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
	}
}

// checkQuorum reports whether a majority of the voters has replied since the last check, and starts the next period.
func (n *Node) checkQuorum() bool {
	count := 0
	for _, id := range n.voters() {
		p := n.progress[id]
		if id == n.cfg.ID || p.recentlyActive {
			count++
		}
		p.recentlyActive = false
	}
	return count >= n.quorum()
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term != n.term {
		n.term = term
		n.vote = ""
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.readQueue = readQueue{}
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// voters returns the IDs of the voters in the newest membership, in the order of the membership.
func (n *Node) voters() []string {
	var list []string
	for _, member := range n.log.latestMembership().Members {
		if !member.Learner {
			list = append(list, member.Id)
		}
	}
	return list
}

func (n *Node) quorum() int {
	return len(n.voters())/2 + 1
}

func (n *Node) isVoter(id string) bool {
	for _, voter := range n.voters() {
		if voter == id {
			return true
		}
	}
	return false
}

// voterValues returns value(p) for the progress p of each voter.
func (n *Node) voterValues(value func(*progress) uint64) []uint64 {
	var list []uint64
	for _, id := range n.voters() {
		list = append(list, value(n.progress[id]))
	}
	return list
}

// quorumValue returns the highest value that a majority of the values in list reach or exceed.
func quorumValue(list []uint64) uint64 {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] > list[j] })
	return list[len(list)/2]
}

// send queues a message that the caller sends after it has persisted the state in the same Ready.
func (n *Node) send(message *apiv1.ReplicationMessage) {
	message.From = n.cfg.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}

// sendImmediately queues a message that does not depend on the state to persist, so that it can be sent before.
func (n *Node) sendImmediately(message *apiv1.ReplicationMessage) {
	message.From = n.cfg.ID
	message.Term = n.term
	n.immediateMessages = append(n.immediateMessages, message)
}
