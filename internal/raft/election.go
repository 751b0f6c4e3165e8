package raft

import apiv1 "samphireflow/api/v1"

// campaign starts a pre-vote: it asks the voters whether they would vote for this node. The term is increased only when
// a quorum agrees.
func (n *Node) campaign() {
	n.leader = ""
	if !n.canCampaign() {
		n.role = Follower
		return
	}
	n.role = PreCandidate
	n.votes = map[string]bool{n.cfg.ID: true}
	if n.hasVoteQuorum() {
		n.startElection()
		return
	}
	n.requestVotes(apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1)
}

// canCampaign reports whether the node is a voter in its newest membership or in the committed one. A voter whose removal
// is not committed yet may still campaign, because the removal may be committable only by a leader whose log contains it
// (section 4.2.2 of the dissertation named in the package comment).
func (n *Node) canCampaign() bool {
	if n.isVoter(n.cfg.ID) {
		return true
	}
	learner, known := learnersByID(n.log.membershipAt(n.log.committed))[n.cfg.ID]
	return known && !learner
}

func (n *Node) startElection() {
	n.role = Candidate
	n.term++
	n.vote = n.cfg.ID
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElectionTimer()
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(apiv1.MessageKind_MESSAGE_KIND_VOTE, n.term)
}

func (n *Node) requestVotes(kind apiv1.MessageKind, term uint64) {
	for _, id := range n.voters() {
		if id == n.cfg.ID {
			continue
		}
		n.send(&apiv1.ReplicationMessage{Kind: kind, To: id, Term: term, LogIndex: n.log.last(), LogTerm: n.log.lastTerm()})
	}
}

// hasVoteQuorum reports whether a quorum of the voters granted this node their votes or pre-votes.
func (n *Node) hasVoteQuorum() bool {
	count := 0
	for _, id := range n.voters() {
		if n.votes[id] {
			count++
		}
	}
	return count >= n.quorum()
}

// hasActiveLeader reports whether the node is in contact with a leader: less than the shortest election timeout has passed
// since the leader's last message. The node refuses votes and pre-votes in that case, so that a member that was
// partitioned cannot depose a working leader.
func (n *Node) hasActiveLeader() bool {
	return n.leader != "" && n.electionElapsed < n.cfg.ElectionTicks
}

func (n *Node) handlePreVote(message *apiv1.ReplicationMessage) {
	reply := &apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: message.From}
	if message.Term > n.term && !n.hasActiveLeader() && n.log.isUpToDate(message.LogIndex, message.LogTerm) {
		reply.Term = message.Term
	} else {
		reply.Reject = true
	}
	n.send(reply)
}

func (n *Node) handlePreVoteReply(message *apiv1.ReplicationMessage) {
	if n.role != PreCandidate || message.Term != n.term+1 {
		return
	}
	n.votes[message.From] = true
	if n.hasVoteQuorum() {
		n.startElection()
	}
}

func (n *Node) handleVote(message *apiv1.ReplicationMessage) {
	mayVoteForAny := n.vote == "" && n.leader == ""
	grant := (mayVoteForAny || n.vote == message.From) && n.log.isUpToDate(message.LogIndex, message.LogTerm)
	if grant {
		n.vote = message.From
		n.electionElapsed = 0
	}
	n.send(&apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: message.From, Reject: !grant})
}

func (n *Node) handleVoteReply(message *apiv1.ReplicationMessage) {
	if n.role != Candidate || message.Reject {
		return
	}
	n.votes[message.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.votes = nil
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.readQueue = readQueue{}
	n.progress = map[string]*progress{}
	n.reconcileProgress()
	n.appendEntry(apiv1.EntryKind_ENTRY_KIND_EMPTY, nil)
	n.broadcastAppend()
}
