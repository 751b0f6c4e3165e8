package raft

import apiv1 "samphireflow/api/v1"

// Ready is the outstanding work of a node, to be done by the caller.
//
// The caller sends ImmediateMessages, persists Snapshot, HardState and Entries, syncs the storage if MustSync is set, sends
// Messages, applies Committed, answers Reads and then calls Advance.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	// Snapshot, if not nil, replaces the log and the state of the state machine.
	Snapshot *Snapshot
	// Entries replace the persisted log from the index of the first entry on.
	Entries []*apiv1.Entry
	// MustSync is set when the persisted state must be durable before Messages are sent.
	MustSync bool
	// ImmediateMessages do not depend on the state to persist and can be sent first.
	ImmediateMessages []*apiv1.ReplicationMessage
	Messages          []*apiv1.ReplicationMessage
	// Committed holds the entries to apply to the state machine.
	Committed []*apiv1.Entry
	Reads     []Read
}

// Read is a confirmed read. A state machine that has applied Index reflects everything that was committed when the read
// was requested.
type Read struct {
	Context uint64
	Index   uint64
}

func (r *Ready) empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.ImmediateMessages) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns the outstanding work. The second result is false when there is none.
func (n *Node) Ready() (*Ready, bool) {
	ready := &Ready{
		Snapshot:          n.log.pendingSnapshot,
		Entries:           n.log.unpersisted(),
		ImmediateMessages: n.immediateMessages,
		Messages:          n.messages,
		Committed:         n.log.entriesToApply(),
		Reads:             n.confirmedReads,
	}
	if state := n.hardState(); state != n.persistedState {
		ready.HardState = &state
		ready.MustSync = state.needsSync(n.persistedState)
	}
	if ready.Snapshot != nil || len(ready.Entries) > 0 {
		ready.MustSync = true
	}
	n.immediateMessages, n.messages, n.confirmedReads = nil, nil, nil
	return ready, !ready.empty()
}

// Advance records that everything in ready is persisted, sent and applied.
func (n *Node) Advance(ready *Ready) {
	if ready.HardState != nil {
		n.persistedState = *ready.HardState
	}
	if ready.Snapshot != nil {
		n.log.markSnapshotPersisted(ready.Snapshot)
	}
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		n.log.markEntriesPersisted(last.Index, last.Term)
	}
	if count := len(ready.Committed); count > 0 {
		n.log.applied = ready.Committed[count-1].Index
	}
	if n.role == Leader {
		n.acknowledgeOwnEntries()
	}
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
}
