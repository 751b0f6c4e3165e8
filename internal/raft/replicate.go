package raft

import apiv1 "samphireflow/api/v1"

// Propose appends a command to a leader's log and returns its index and term there.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || !n.isVoter(n.cfg.ID) {
		return 0, 0, ErrNotLeader
	}
	uncommitted := n.log.uncommittedBytes()
	if n.log.last()-n.log.committed >= uint64(n.cfg.MaxUncommitted) || uncommitted > 0 && uncommitted+len(data) > n.cfg.MaxUncommittedBytes {
		return 0, 0, ErrTooManyUncommitted
	}
	return n.appendEntry(apiv1.EntryKind_ENTRY_KIND_COMMAND, data), n.term, nil
}

// Replicate sends new entries to the followers. The caller calls it once after a batch of proposals.
func (n *Node) Replicate() {
	if n.role == Leader {
		n.broadcastAppend()
	}
}

func (n *Node) appendEntry(kind apiv1.EntryKind, data []byte) uint64 {
	entry := &apiv1.Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.add(entry)
	return entry.Index
}

// acknowledgeOwnEntries counts the leader's persisted entries towards the commit quorum.
func (n *Node) acknowledgeOwnEntries() {
	if p := n.progress[n.cfg.ID]; p != nil {
		p.match = max(p.match, n.log.persisted)
	}
	n.advanceCommit()
}

// advanceCommit commits what a quorum has persisted, if that ends with an entry of the current term. A leader that has
// removed itself from the voters steps down once its removal is committed.
func (n *Node) advanceCommit() {
	index := quorumValue(n.voterValues(func(p *progress) uint64 { return p.match }))
	if term, ok := n.log.term(index); !ok || term != n.term || index <= n.log.committed {
		return
	}
	n.log.commitTo(index)
	n.answerConfirmedReads()
	n.broadcastAppend()
	if n.log.latestMembershipIndex() <= n.log.committed && !n.isVoter(n.cfg.ID) {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) broadcastAppend() {
	for _, id := range n.peers() {
		p := n.progress[id]
		for n.needsAppend(p) && n.sendAppend(id, p) {
			continue
		}
	}
}

// needsAppend reports whether entries are still to be sent to a follower, or the follower has acknowledged all of them but
// was not sent the newest commit index.
func (n *Node) needsAppend(p *progress) bool {
	return p.next <= n.log.last() || (p.mode == modeReplicate && p.sentCommit < n.log.committed && p.match == n.log.last())
}

// sendAppend sends the next entries, or the next chunk of a snapshot if those entries are compacted away.
// It reports whether it sent anything.
func (n *Node) sendAppend(id string, p *progress) bool {
	if p.sendBlocked(n.cfg.MaxInflight) {
		return false
	}
	previousTerm, ok := n.log.term(p.next - 1)
	if p.mode == modeSnapshot || !ok {
		n.sendSnapshot(id, p)
		return true
	}
	entries := n.log.entriesAfter(p.next-1, n.cfg.MaxAppendBytes)
	n.sendImmediately(&apiv1.ReplicationMessage{
		Kind:     apiv1.MessageKind_MESSAGE_KIND_APPEND,
		To:       id,
		LogIndex: p.next - 1,
		LogTerm:  previousTerm,
		Commit:   n.log.committed,
		Entries:  entries,
	})
	p.sentCommit = n.log.committed
	if p.mode == modeProbe {
		p.paused = true
		return true
	}
	p.next += uint64(len(entries))
	p.inflight++
	return true
}

func (n *Node) handleAppend(message *apiv1.ReplicationMessage) {
	reply := &apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: message.From}
	if message.LogIndex < n.log.committed {
		reply.LogIndex = n.log.committed
		n.send(reply)
		return
	}
	last, ok := n.log.appendAfter(message.LogIndex, message.LogTerm, message.Entries)
	if ok {
		n.log.commitTo(min(message.Commit, last))
		reply.LogIndex = last
	} else {
		reply.Reject = true
		reply.LogIndex = message.LogIndex
		reply.RejectHint, reply.LogTerm = n.log.conflictHint(message.LogIndex, message.LogTerm)
	}
	n.send(reply)
}

func (n *Node) handleAppendReply(message *apiv1.ReplicationMessage, p *progress) {
	if message.Reject {
		n.handleAppendReject(message, p)
		return
	}
	if p.acknowledge(message.LogIndex) {
		n.advanceCommit()
	}
	if n.role != Leader {
		return
	}
	for n.needsAppend(p) && n.sendAppend(message.From, p) {
		continue
	}
}

// handleAppendReject probes from an earlier entry after a follower has rejected an append. It ignores stale rejections.
func (n *Node) handleAppendReject(message *apiv1.ReplicationMessage, p *progress) {
	if message.LogIndex <= p.match || p.mode == modeSnapshot {
		return
	}
	if p.mode == modeProbe && message.LogIndex != p.next-1 {
		return
	}
	hint, _ := n.log.conflictHint(message.RejectHint, message.LogTerm)
	if message.RejectHint < n.log.baseIndex {
		// The entry at the follower's hint is compacted away here, so that sendAppend sends a snapshot.
		hint = message.RejectHint
	}
	p.startProbe(min(message.LogIndex, hint+1))
	n.sendAppend(message.From, p)
}
