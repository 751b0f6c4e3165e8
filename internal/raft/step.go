package raft

import apiv1 "samphireflow/api/v1"

// Step handles a message from another member. Messages may be delayed, duplicated, reordered or lost.
func (n *Node) Step(message *apiv1.ReplicationMessage) {
	if message.To != n.cfg.ID || message.From == n.cfg.ID {
		return
	}
	if message.Term > n.term && !n.handleHigherTerm(message) {
		return
	}
	if message.Term < n.term {
		n.replyToStaleTerm(message)
		return
	}
	n.dispatch(message)
}

// handleHigherTerm handles a message of a higher term. It adopts the term with two exceptions: pre-votes and granted
// pre-vote replies carry the term of an election that has not started, and votes are ignored while a leader is active.
// It reports whether Step must still handle the message.
func (n *Node) handleHigherTerm(message *apiv1.ReplicationMessage) bool {
	switch message.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.handlePreVote(message)
		return false
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !message.Reject {
			n.handlePreVoteReply(message)
			return false
		}
	case apiv1.MessageKind_MESSAGE_KIND_VOTE:
		if n.hasActiveLeader() {
			return false
		}
	}
	n.becomeFollower(message.Term, "")
	return true
}

// replyToStaleTerm sends the current term to a sender that has an older one, so that it can rejoin.
func (n *Node) replyToStaleTerm(message *apiv1.ReplicationMessage) {
	switch message.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.send(&apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: message.From})
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.send(&apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: message.From, Reject: true})
	}
}

func (n *Node) dispatch(message *apiv1.ReplicationMessage) {
	switch message.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.handlePreVote(message)
	case apiv1.MessageKind_MESSAGE_KIND_VOTE:
		n.handleVote(message)
	case apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		n.handleVoteReply(message)
	case apiv1.MessageKind_MESSAGE_KIND_APPEND, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleLeaderMessage(message)
	case apiv1.MessageKind_MESSAGE_KIND_READ:
		n.handleRead(message)
	case apiv1.MessageKind_MESSAGE_KIND_READ_REPLY:
		n.confirmedReads = append(n.confirmedReads, Read{Context: message.Context, Index: message.LogIndex})
	default:
		n.handleFollowerReply(message)
	}
}

// handleLeaderMessage handles a message from the leader of the current term and follows that leader.
func (n *Node) handleLeaderMessage(message *apiv1.ReplicationMessage) {
	if n.role == Leader {
		return
	}
	if n.role != Follower || n.leader != message.From {
		n.becomeFollower(message.Term, message.From)
	}
	n.electionElapsed = 0
	n.leaderContactTick = n.ticks
	switch message.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND:
		n.handleAppend(message)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT:
		n.handleHeartbeat(message)
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleSnapshot(message)
	}
}

// handleFollowerReply handles a reply from a follower to this leader.
func (n *Node) handleFollowerReply(message *apiv1.ReplicationMessage) {
	if n.role != Leader {
		return
	}
	p := n.progress[message.From]
	if p == nil {
		return
	}
	p.recentlyActive = true
	p.lastContactTick = n.ticks
	switch message.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.handleAppendReply(message, p)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(message, p)
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY:
		n.handleSnapshotReply(message, p)
	}
}
