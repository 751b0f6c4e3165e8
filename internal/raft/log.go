package raft

import (
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// entryLog is the node's log in memory: a snapshot and the entries behind and after its index.
type entryLog struct {
	snapshot Snapshot
	// pendingSnapshot was received from a leader and is not persisted yet.
	pendingSnapshot *Snapshot
	// start is the index before the first entry, startTerm its term.
	start     uint64
	startTerm uint64
	entries   []*apiv1.Entry
	// stored is the last index that is known to be persisted.
	stored    uint64
	committed uint64
	applied   uint64
	// memberships lists the memberships in force from an index on, oldest first.
	memberships []membershipAt
}

type membershipAt struct {
	index      uint64
	membership *apiv1.ReplicaMembership
}

func newEntryLog(state State) *entryLog {
	l := &entryLog{snapshot: state.Snapshot}
	l.resetTo(state.Snapshot)
	l.committed = max(state.HardState.Commit, state.Snapshot.Index)
	l.applied = state.Snapshot.Index
	for _, entry := range state.Entries {
		l.add(entry)
	}
	l.stored = l.last()
	l.committed = min(l.committed, l.last())
	return l
}

func (l *entryLog) resetTo(snapshot Snapshot) {
	l.start, l.startTerm = snapshot.Index, snapshot.Term
	l.entries = nil
	membership := snapshot.Membership
	if membership == nil {
		membership = &apiv1.ReplicaMembership{}
	}
	l.memberships = []membershipAt{{snapshot.Index, membership}}
}

func (l *entryLog) add(entry *apiv1.Entry) {
	if len(l.entries) == 0 && entry.Index <= l.start {
		return
	}
	l.entries = append(l.entries, entry)
	if entry.Kind != apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	membership := &apiv1.ReplicaMembership{}
	if proto.Unmarshal(entry.Data, membership) == nil {
		l.memberships = append(l.memberships, membershipAt{entry.Index, membership})
	}
}

func (l *entryLog) last() uint64 {
	return l.start + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an index; false when the index is compacted away or not there yet.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.start:
		return l.startTerm, true
	case index < l.start || index > l.last():
		return 0, false
	}
	return l.entries[index-l.start-1].Term, true
}

// slice returns the entries in (after, to].
func (l *entryLog) slice(after, to uint64) []*apiv1.Entry {
	if after >= to || after < l.start {
		return nil
	}
	return l.entries[after-l.start : to-l.start]
}

// after returns the entries after an index, up to a number of bytes but at least one.
func (l *entryLog) after(index uint64, maxBytes int) []*apiv1.Entry {
	list := l.slice(index, l.last())
	size := 0
	for i, entry := range list {
		size += len(entry.Data)
		if i > 0 && size > maxBytes {
			return list[:i]
		}
	}
	return list
}

// appendAt adds entries after the index previous, when its term matches. It drops what conflicts.
func (l *entryLog) appendAt(previous, previousTerm uint64, entries []*apiv1.Entry) (uint64, bool) {
	if term, ok := l.term(previous); !ok || term != previousTerm {
		return 0, false
	}
	for i, entry := range entries {
		term, ok := l.term(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		l.truncate(entry.Index - 1)
		for _, added := range entries[i:] {
			l.add(added)
		}
		break
	}
	return previous + uint64(len(entries)), true
}

// truncate drops the entries after an index.
func (l *entryLog) truncate(index uint64) {
	if index >= l.last() {
		return
	}
	if index < l.committed {
		panic("raft: a committed entry would be dropped")
	}
	l.entries = append([]*apiv1.Entry(nil), l.entries[:index-l.start]...)
	l.stored = min(l.stored, index)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index > index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// conflictHint returns the largest index up to limit whose term is at most the given one, and its term.
func (l *entryLog) conflictHint(limit, term uint64) (uint64, uint64) {
	limit = min(limit, l.last())
	for index := limit; index > l.start; index-- {
		if own, _ := l.term(index); own <= term {
			return index, own
		}
	}
	return l.start, l.startTerm
}

// upToDate reports whether a log that ends at the given place holds all that this one may have committed.
func (l *entryLog) upToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.last()
}

func (l *entryLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.last()))
}

func (l *entryLog) unstable() []*apiv1.Entry {
	return l.slice(max(l.stored, l.start), l.last())
}

// toApply returns what is committed and persisted but not applied yet.
func (l *entryLog) toApply() []*apiv1.Entry {
	if l.pendingSnapshot != nil {
		return nil
	}
	return l.slice(l.applied, min(l.committed, l.stored))
}

func (l *entryLog) entriesStored(index, term uint64) {
	if own, ok := l.term(index); ok && own == term {
		l.stored = max(l.stored, index)
	}
}

// restore replaces the log by a snapshot that a leader sent.
func (l *entryLog) restore(snapshot *Snapshot) {
	l.pendingSnapshot = snapshot
	l.snapshot = *snapshot
	l.resetTo(*snapshot)
	l.stored = snapshot.Index
	l.committed = snapshot.Index
	l.applied = snapshot.Index
}

func (l *entryLog) snapshotStored(snapshot *Snapshot) {
	if l.pendingSnapshot == snapshot {
		l.pendingSnapshot = nil
	}
}

// compact takes a snapshot of this node's own and keeps some entries behind it.
func (l *entryLog) compact(snapshot Snapshot, retained uint64) {
	l.snapshot = snapshot
	if snapshot.Index <= retained || snapshot.Index-retained <= l.start {
		return
	}
	start := snapshot.Index - retained
	term, _ := l.term(start)
	base := l.membershipAt(start)
	kept := []membershipAt{{start, base}}
	for _, at := range l.memberships {
		if at.index > start {
			kept = append(kept, at)
		}
	}
	l.entries = append([]*apiv1.Entry(nil), l.entries[start-l.start:]...)
	l.start, l.startTerm, l.memberships = start, term, kept
}

// membershipAt returns the membership in force at an index.
func (l *entryLog) membershipAt(index uint64) *apiv1.ReplicaMembership {
	i := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index > index })
	return l.memberships[max(i-1, 0)].membership
}

func (l *entryLog) membership() *apiv1.ReplicaMembership {
	return l.memberships[len(l.memberships)-1].membership
}

func (l *entryLog) membershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}
