package raft

import apiv1 "samphireflow/api/v1"

// readQueue holds a leader's reads until a quorum confirms that it still leads.
type readQueue struct {
	// context numbers the confirmations; a heartbeat's answer confirms all reads up to its context.
	context uint64
	waiting []waitingRead
}

type waitingRead struct {
	context uint64
	index   uint64
	// from is the member that asked, requested the context that it gave.
	from      string
	requested uint64
}

// ReadIndex asks for a read. The answer comes in a Ready with the same context, or never: the caller repeats it.
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

// queueRead fixes the read's index. A new leader must commit an entry of its own term first; until then the
// read is dropped and repeated by its caller.
func (n *Node) queueRead(from string, requested uint64) {
	if term, _ := n.log.term(n.log.committed); term != n.term {
		return
	}
	n.reading.context++
	n.reading.waiting = append(n.reading.waiting, waitingRead{n.reading.context, n.log.committed, from, requested})
}

// ConfirmReads starts the confirmation of queued reads; it is called once after a batch of reads.
func (n *Node) ConfirmReads() {
	if n.role != Leader || len(n.reading.waiting) == 0 {
		return
	}
	n.broadcastHeartbeat()
	n.releaseReads()
}

func (n *Node) releaseReads() {
	if len(n.reading.waiting) == 0 {
		return
	}
	if self := n.progress[n.cfg.ID]; self != nil {
		self.readContext = n.reading.context
	}
	confirmed := quorumValue(n.voterValues(func(p *progress) uint64 { return p.readContext }))
	for len(n.reading.waiting) > 0 && n.reading.waiting[0].context <= confirmed {
		n.answerRead(n.reading.waiting[0])
		n.reading.waiting = n.reading.waiting[1:]
	}
}

func (n *Node) answerRead(read waitingRead) {
	if read.from == n.cfg.ID {
		n.reads = append(n.reads, Read{Context: read.requested, Index: read.index})
		return
	}
	n.sendEarly(&apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_READ_REPLY, To: read.from, LogIndex: read.index, Context: read.requested})
}
