package raft

import apiv1 "samphireflow/api/v1"

// incomingSnapshot collects the chunks of a snapshot that a leader sends.
type incomingSnapshot struct {
	from  string
	index uint64
	term  uint64
	data  []byte
}

// Compact installs data as the snapshot of the state machine at the applied index and drops old entries.
// It must not be called between Ready and Advance.
func (n *Node) Compact(data []byte) Snapshot {
	index := n.log.applied
	term, ok := n.log.term(index)
	if !ok {
		term = n.log.snapshot.Term
	}
	snapshot := Snapshot{Index: index, Term: term, Membership: n.log.membershipAt(index), Data: data}
	n.log.compact(snapshot, uint64(n.cfg.RetainedEntries), n.cfg.RetainedBytes)
	return snapshot
}

// sendSnapshot sends the current chunk of a snapshot and pauses until a reply comes.
func (n *Node) sendSnapshot(id string, p *progress) {
	if p.mode != modeSnapshot {
		snapshot := n.log.snapshot
		p.mode, p.snapshot, p.offset = modeSnapshot, &snapshot, 0
	}
	size := uint64(len(p.snapshot.Data))
	end := min(p.offset+uint64(n.cfg.SnapshotChunkBytes), size)
	n.sendImmediately(&apiv1.ReplicationMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:   id,
		Chunk: &apiv1.SnapshotChunk{
			Index:      p.snapshot.Index,
			Term:       p.snapshot.Term,
			Offset:     p.offset,
			Data:       p.snapshot.Data[p.offset:end],
			Last:       end == size,
			Membership: p.snapshot.Membership,
		},
	})
	p.paused = true
}

func (n *Node) handleSnapshot(message *apiv1.ReplicationMessage) {
	chunk := message.Chunk
	if chunk == nil {
		return
	}
	if term, ok := n.log.term(chunk.Index); ok && term == chunk.Term {
		// The log already contains the snapshot's entries. It may also hold acknowledged entries after them, which must
		// not be lost, so the snapshot is not installed.
		n.log.commitTo(chunk.Index)
	}
	if chunk.Index <= n.log.committed {
		n.send(&apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: message.From, LogIndex: n.log.committed})
		return
	}
	n.addChunk(message.From, chunk)
	if !chunk.Last || uint64(len(n.incomingSnapshot.data)) != chunk.Offset+uint64(len(chunk.Data)) {
		n.requestChunk(message.From)
		return
	}
	n.log.restore(&Snapshot{Index: chunk.Index, Term: chunk.Term, Membership: chunk.Membership, Data: n.incomingSnapshot.data})
	n.incomingSnapshot = nil
	n.send(&apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: message.From, LogIndex: chunk.Index})
}

// addChunk appends a chunk if it continues the data received so far. A chunk of another snapshot or from another sender
// discards that data first.
func (n *Node) addChunk(from string, chunk *apiv1.SnapshotChunk) {
	in := n.incomingSnapshot
	if in == nil || in.from != from || in.index != chunk.Index || in.term != chunk.Term {
		in = &incomingSnapshot{from: from, index: chunk.Index, term: chunk.Term}
		n.incomingSnapshot = in
	}
	if chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, chunk.Data...)
	}
}

func (n *Node) requestChunk(from string) {
	n.send(&apiv1.ReplicationMessage{
		Kind:       apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY,
		To:         from,
		LogIndex:   n.incomingSnapshot.index,
		RejectHint: uint64(len(n.incomingSnapshot.data)),
	})
}

func (n *Node) handleSnapshotReply(message *apiv1.ReplicationMessage, p *progress) {
	if p.mode != modeSnapshot || message.LogIndex != p.snapshot.Index || message.RejectHint > uint64(len(p.snapshot.Data)) {
		return
	}
	if message.RejectHint == p.offset {
		return
	}
	p.offset = message.RejectHint
	p.paused = false
	n.sendSnapshot(message.From, p)
}
