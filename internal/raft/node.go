package raft

import (
	"sort"

	apiv1 "samphireflow/api/v1"
)

// Node is one member's part in the agreement.
type Node struct {
	cfg    Config
	term   uint64
	vote   string
	role   Role
	leader string
	log    *entryLog
	ticks  uint64
	// electionElapsed counts ticks since the last sign of a leader, or since a leader's last check of its quorum.
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	// contactTick is the tick of the last message from the leader.
	contactTick uint64
	votes       map[string]bool
	progress    map[string]*progress
	reading     readQueue
	incoming    *incomingSnapshot
	savedState  HardState
	early       []*apiv1.ReplicationMessage
	messages    []*apiv1.ReplicationMessage
	reads       []Read
}

// New starts a node as a follower from what storage holds.
func New(cfg Config, state State) *Node {
	n := &Node{cfg: cfg.withDefaults(), log: newEntryLog(state)}
	n.term, n.vote = state.HardState.Term, state.HardState.Vote
	n.savedState = n.hardState()
	if last := n.log.lastTerm(); last > n.term {
		// The instance stopped after it stored entries of a term and before it stored the term.
		n.term, n.vote = last, ""
	}
	n.becomeFollower(n.term, "")
	n.electionTimeout = n.firstTimeout()
	return n
}

// firstTimeout is the time after a start until the node asks for votes: a group of which all members start at once has no
// leader to wait for. The voters of a working leader refuse, as for any member that does not hear it.
func (n *Node) firstTimeout() int {
	return n.cfg.ElectionTicks/4 + n.cfg.Rand.IntN(n.cfg.ElectionTicks/2+1)
}

// ID returns the node's identity.
func (n *Node) ID() string { return n.cfg.ID }

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Leader returns the identity of the leader, empty when none is known.
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
func (n *Node) Membership() *apiv1.ReplicaMembership { return n.log.membership() }

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// Ticks returns how often Tick was called.
func (n *Node) Ticks() uint64 { return n.ticks }

// LastContactTick returns the tick in which a follower last heard its leader, or a leader last heard a quorum.
func (n *Node) LastContactTick() uint64 {
	if n.role != Leader {
		return n.contactTick
	}
	return quorumValue(n.voterValues(func(p *progress) uint64 { return p.lastSeen }))
}

// TicksSinceContact returns how long a leader has not heard a member; false for one that is not a member.
func (n *Node) TicksSinceContact(id string) (uint64, bool) {
	p := n.progress[id]
	if p == nil {
		return 0, false
	}
	return n.ticks - p.lastSeen, true
}

// CaughtUp reports whether a leader could make a voter of a learner.
func (n *Node) CaughtUp(id string) bool {
	return n.caughtUp(id)
}

// Tick moves the node's time on by one.
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
		self.lastSeen = n.ticks
	}
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		if !n.quorumActive() {
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

// quorumActive reports whether a majority has answered since the last check.
func (n *Node) quorumActive() bool {
	count := 0
	for _, id := range n.voters() {
		p := n.progress[id]
		if id == n.cfg.ID || p.active {
			count++
		}
		p.active = false
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
	n.reading = readQueue{}
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// voters lists the identities of the voters in the newest membership, sorted as the membership is.
func (n *Node) voters() []string {
	var list []string
	for _, member := range n.log.membership().Members {
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

func (n *Node) voterValues(value func(*progress) uint64) []uint64 {
	var list []uint64
	for _, id := range n.voters() {
		list = append(list, value(n.progress[id]))
	}
	return list
}

// quorumValue returns the highest value that a majority of the list reaches.
func quorumValue(list []uint64) uint64 {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] > list[j] })
	return list[len(list)/2]
}

func (n *Node) send(message *apiv1.ReplicationMessage) {
	message.From = n.cfg.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}

// sendEarly sends a message that depends on nothing that is still to be persisted.
func (n *Node) sendEarly(message *apiv1.ReplicationMessage) {
	message.From = n.cfg.ID
	message.Term = n.term
	n.early = append(n.early, message)
}
