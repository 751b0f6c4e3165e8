package raft

import apiv1 "samphireflow/api/v1"

// campaign asks the voters whether an election could be won; only then the term is raised.
func (n *Node) campaign() {
	n.leader = ""
	if !n.mayCampaign() {
		n.role = Follower
		return
	}
	n.role = PreCandidate
	n.votes = map[string]bool{n.cfg.ID: true}
	if n.wonVotes() {
		n.startElection()
		return
	}
	n.requestVotes(apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1)
}

// mayCampaign reports whether the node is a voter, or still one until its removal is committed: only a leader whose
// log has the removal may be able to commit it (section 4.2.2 of the source).
func (n *Node) mayCampaign() bool {
	if n.isVoter(n.cfg.ID) {
		return true
	}
	learner, known := memberKinds(n.log.membershipAt(n.log.committed))[n.cfg.ID]
	return known && !learner
}

func (n *Node) startElection() {
	n.role = Candidate
	n.term++
	n.vote = n.cfg.ID
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElectionTimer()
	if n.wonVotes() {
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

func (n *Node) wonVotes() bool {
	count := 0
	for _, id := range n.voters() {
		if n.votes[id] {
			count++
		}
	}
	return count >= n.quorum()
}

// leaderInForce reports whether a leader was heard within the shortest election timeout. Votes are refused
// then, so that a member that was cut off cannot unseat a working leader.
func (n *Node) leaderInForce() bool {
	return n.leader != "" && n.electionElapsed < n.cfg.ElectionTicks
}

func (n *Node) handlePreVote(message *apiv1.ReplicationMessage) {
	reply := &apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: message.From}
	if message.Term > n.term && !n.leaderInForce() && n.log.upToDate(message.LogIndex, message.LogTerm) {
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
	if n.wonVotes() {
		n.startElection()
	}
}

func (n *Node) handleVote(message *apiv1.ReplicationMessage) {
	free := n.vote == "" && n.leader == ""
	grant := (free || n.vote == message.From) && n.log.upToDate(message.LogIndex, message.LogTerm)
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
	if n.wonVotes() {
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.votes = nil
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.reading = readQueue{}
	n.progress = map[string]*progress{}
	n.syncProgress()
	n.appendOwn(apiv1.EntryKind_ENTRY_KIND_EMPTY, nil)
	n.broadcastAppend()
}
