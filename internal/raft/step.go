package raft

import apiv1 "samphireflow/api/v1"

// Step takes a message from another member. Messages may come late, repeated, reordered or not at all.
func (n *Node) Step(message *apiv1.ReplicationMessage) {
	if message.To != n.cfg.ID || message.From == n.cfg.ID {
		return
	}
	if message.Term > n.term && !n.adoptTerm(message) {
		return
	}
	if message.Term < n.term {
		n.answerStale(message)
		return
	}
	n.dispatch(message)
}

// adoptTerm follows a higher term where the message calls for it. It reports whether the message is to be handled.
func (n *Node) adoptTerm(message *apiv1.ReplicationMessage) bool {
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
		if n.leaderInForce() {
			return false
		}
	}
	n.becomeFollower(message.Term, "")
	return true
}

// answerStale tells a sender of an older term of the newer one, so that it can rejoin.
func (n *Node) answerStale(message *apiv1.ReplicationMessage) {
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
		n.followLeader(message)
	case apiv1.MessageKind_MESSAGE_KIND_READ:
		n.handleRead(message)
	case apiv1.MessageKind_MESSAGE_KIND_READ_REPLY:
		n.reads = append(n.reads, Read{Context: message.Context, Index: message.LogIndex})
	default:
		n.handleReply(message)
	}
}

func (n *Node) followLeader(message *apiv1.ReplicationMessage) {
	if n.role == Leader {
		return
	}
	if n.role != Follower || n.leader != message.From {
		n.becomeFollower(message.Term, message.From)
	}
	n.electionElapsed = 0
	n.contactTick = n.ticks
	switch message.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND:
		n.handleAppend(message)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT:
		n.handleHeartbeat(message)
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleSnapshot(message)
	}
}

// handleReply takes a follower's answer to this leader.
func (n *Node) handleReply(message *apiv1.ReplicationMessage) {
	if n.role != Leader {
		return
	}
	p := n.progress[message.From]
	if p == nil {
		return
	}
	p.active = true
	p.lastSeen = n.ticks
	switch message.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.handleAppendReply(message, p)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(message, p)
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY:
		n.handleSnapshotReply(message, p)
	}
}
