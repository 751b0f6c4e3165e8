package raft

import apiv1 "samphireflow/api/v1"

// HardState must be synced before any message that depends on it leaves the instance.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// needsSync reports whether losing the change from an earlier state could break a promise.
func (h HardState) needsSync(earlier HardState) bool {
	return h.Term != earlier.Term || h.Vote != earlier.Vote
}

// Snapshot stands for all entries up to Index. It is immutable.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership *apiv1.ReplicaMembership
	Data       []byte
}

// State is what storage holds when a node starts. An empty State is a blank folder.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []*apiv1.Entry
}
