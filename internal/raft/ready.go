package raft

import apiv1 "samphireflow/api/v1"

// Ready is the work that a node hands to its caller.
//
// The caller sends ImmediateMessages, persists Snapshot, HardState and Entries, syncs when MustSync is set, sends Messages, applies
// Committed, answers Reads and then calls Advance.
type Ready struct {
	// HardState is nil when it has not changed.
	HardState *HardState
	// Snapshot, when not nil, replaces the log and the state machine.
	Snapshot *Snapshot
	// Entries replace the stored log from the index of the first one on.
	Entries []*apiv1.Entry
	// MustSync is set when something must last before Messages leave.
	MustSync bool
	// ImmediateMessages messages do not depend on what is persisted here.
	ImmediateMessages []*apiv1.ReplicationMessage
	Messages          []*apiv1.ReplicationMessage
	// Committed entries are ready to be applied.
	Committed []*apiv1.Entry
	Reads     []Read
}

// Read is a confirmed read: state that has applied Index is current as of the request.
type Read struct {
	Context uint64
	Index   uint64
}

func (r *Ready) empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.ImmediateMessages) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns the outstanding work, or false when there is none.
func (n *Node) Ready() (*Ready, bool) {
	ready := &Ready{
		Snapshot:          n.log.pendingSnapshot,
		Entries:           n.log.unstable(),
		ImmediateMessages: n.early,
		Messages:          n.messages,
		Committed:         n.log.toApply(),
		Reads:             n.reads,
	}
	if state := n.hardState(); state != n.savedState {
		ready.HardState = &state
		ready.MustSync = state.needsSync(n.savedState)
	}
	if ready.Snapshot != nil || len(ready.Entries) > 0 {
		ready.MustSync = true
	}
	n.early, n.messages, n.reads = nil, nil, nil
	return ready, !ready.empty()
}

// Advance tells the node that everything in ready is persisted and applied.
func (n *Node) Advance(ready *Ready) {
	if ready.HardState != nil {
		n.savedState = *ready.HardState
	}
	if ready.Snapshot != nil {
		n.log.snapshotStored(ready.Snapshot)
	}
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		n.log.entriesStored(last.Index, last.Term)
	}
	if count := len(ready.Committed); count > 0 {
		n.log.applied = ready.Committed[count-1].Index
	}
	if n.role == Leader {
		n.selfStored()
	}
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
}
