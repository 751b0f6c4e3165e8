package raft

import apiv1 "samphireflow/api/v1"

// HardState is the persisted state of a node besides its log and snapshot. A change of Term or Vote must be durable before
// the node sends a message that depends on it; a change of Commit alone need not be synced.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// needsSync reports whether the change from an earlier state must be synced. A node that lost its term or its vote could
// vote twice in one term.
func (h HardState) needsSync(earlier HardState) bool {
	return h.Term != earlier.Term || h.Vote != earlier.Vote
}

// Snapshot replaces all entries up to Index. It is immutable.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership *apiv1.ReplicaMembership
	Data       []byte
}

// State is the persisted state from which a node starts. The zero State is that of an empty data folder.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []*apiv1.Entry
}
