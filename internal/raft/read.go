package raft

import apiv1 "samphireflow/api/v1"

// readQueue holds the reads that wait until a quorum has confirmed that this node is still the leader.
type readQueue struct {
	// heartbeatContext is increased by each read and sent with each heartbeat. The reply to a heartbeat confirms all
	// reads up to the context that it carried.
	heartbeatContext uint64
	unconfirmed      []pendingRead
}

type pendingRead struct {
	heartbeatContext uint64
	index            uint64
	// from is the member that requested the read, and requestContext is the context of its request.
	from           string
	requestContext uint64
}

// ReadIndex requests a linearizable read. Its confirmation comes in a Ready with the same context. A request can be lost
// without notice, so the caller must retry it.
func (n *Node) ReadIndex(context uint64) error {
	if n.role == Leader {
		n.queueRead(n.cfg.ID, context)
		return nil
	}
	if n.leader == "" {
		return ErrNotLeader
	}
	n.send(&apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_READ, To: n.leader, Context: context})
	return nil
}

func (n *Node) handleRead(message *apiv1.ReplicationMessage) {
	if n.role == Leader {
		n.queueRead(message.From, message.Context)
	}
}

// queueRead queues a read at the current commit index. A new leader must first commit an entry of its own term, as its
// commit index may be stale before; until then the read is dropped and the caller must retry it.
func (n *Node) queueRead(from string, requestContext uint64) {
	if term, _ := n.log.term(n.log.committed); term != n.term {
		return
	}
	n.readQueue.heartbeatContext++
	n.readQueue.unconfirmed = append(n.readQueue.unconfirmed, pendingRead{n.readQueue.heartbeatContext, n.log.committed, from, requestContext})
}

// ConfirmReads sends the heartbeats that confirm the queued reads. The caller calls it once after a batch of reads.
func (n *Node) ConfirmReads() {
	if n.role != Leader || len(n.readQueue.unconfirmed) == 0 {
		return
	}
	n.broadcastHeartbeat()
	n.answerConfirmedReads()
}

// answerConfirmedReads answers the queued reads whose heartbeat context a quorum has acknowledged.
func (n *Node) answerConfirmedReads() {
	if len(n.readQueue.unconfirmed) == 0 {
		return
	}
	if self := n.progress[n.cfg.ID]; self != nil {
		self.ackedContext = n.readQueue.heartbeatContext
	}
	confirmed := quorumValue(n.voterValues(func(p *progress) uint64 { return p.ackedContext }))
	for len(n.readQueue.unconfirmed) > 0 && n.readQueue.unconfirmed[0].heartbeatContext <= confirmed {
		n.answerRead(n.readQueue.unconfirmed[0])
		n.readQueue.unconfirmed = n.readQueue.unconfirmed[1:]
	}
}

func (n *Node) answerRead(read pendingRead) {
	if read.from == n.cfg.ID {
		n.confirmedReads = append(n.confirmedReads, Read{Context: read.requestContext, Index: read.index})
		return
	}
	n.sendImmediately(&apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_READ_REPLY, To: read.from, LogIndex: read.index, Context: read.requestContext})
}
