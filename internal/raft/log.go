package raft

import (
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// entryLog is the node's in-memory log: the newest snapshot, the entries after its index and some retained entries up to
// it.
type entryLog struct {
	snapshot Snapshot
	// pendingSnapshot is a snapshot from a leader that is not persisted yet.
	pendingSnapshot *Snapshot
	// baseIndex is the index before the first entry, and baseTerm is the term of that index.
	baseIndex uint64
	baseTerm  uint64
	entries   []*apiv1.Entry
	// persisted is the highest index that is known to be persisted.
	persisted uint64
	committed uint64
	applied   uint64
	// memberships holds each membership with the index from which on it is in effect, oldest first.
	memberships []membershipRecord
}

// membershipRecord is a membership and the index from which on it is in effect.
type membershipRecord struct {
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
	l.persisted = l.last()
	l.committed = min(l.committed, l.last())
	return l
}

func (l *entryLog) resetTo(snapshot Snapshot) {
	l.baseIndex, l.baseTerm = snapshot.Index, snapshot.Term
	l.entries = nil
	membership := snapshot.Membership
	if membership == nil {
		membership = &apiv1.ReplicaMembership{}
	}
	l.memberships = []membershipRecord{{snapshot.Index, membership}}
}

func (l *entryLog) add(entry *apiv1.Entry) {
	if len(l.entries) == 0 && entry.Index <= l.baseIndex {
		return
	}
	l.entries = append(l.entries, entry)
	if entry.Kind != apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	membership := &apiv1.ReplicaMembership{}
	if proto.Unmarshal(entry.Data, membership) == nil {
		l.memberships = append(l.memberships, membershipRecord{entry.Index, membership})
	}
}

func (l *entryLog) last() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. The second result is false when that entry is compacted away or beyond
// the end of the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns the entries in (after, to].
func (l *entryLog) slice(after, to uint64) []*apiv1.Entry {
	if after >= to || after < l.baseIndex {
		return nil
	}
	return l.entries[after-l.baseIndex : to-l.baseIndex]
}

// entriesAfter returns the entries after index, limited to maxBytes of data. It returns at least one entry if there is
// any.
func (l *entryLog) entriesAfter(index uint64, maxBytes int) []*apiv1.Entry {
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

// appendAfter appends entries after the index previous and replaces conflicting entries. It returns the index of the
// last one, or false when the log has no entry at previous with the given term.
func (l *entryLog) appendAfter(previous, previousTerm uint64, entries []*apiv1.Entry) (uint64, bool) {
	if term, ok := l.term(previous); !ok || term != previousTerm {
		return 0, false
	}
	for i, entry := range entries {
		term, ok := l.term(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		l.truncate(entry.Index - 1)
		for _, newEntry := range entries[i:] {
			l.add(newEntry)
		}
		break
	}
	return previous + uint64(len(entries)), true
}

// truncate drops the entries after index.
func (l *entryLog) truncate(index uint64) {
	if index >= l.last() {
		return
	}
	if index < l.committed {
		panic("raft: a committed entry would be dropped")
	}
	l.entries = append([]*apiv1.Entry(nil), l.entries[:index-l.baseIndex]...)
	l.persisted = min(l.persisted, index)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index > index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// conflictHint returns the largest index up to limit whose term is at most the given term, and the term of that index.
// Leader and follower use it to skip conflicting entries when they look for their last common entry.
func (l *entryLog) conflictHint(limit, term uint64) (uint64, uint64) {
	limit = min(limit, l.last())
	for index := limit; index > l.baseIndex; index-- {
		if entryTerm, _ := l.term(index); entryTerm <= term {
			return index, entryTerm
		}
	}
	return l.baseIndex, l.baseTerm
}

// isUpToDate reports whether a log that ends with the given index and term is at least as up to date as this one, and so
// contains every entry that may be committed here.
func (l *entryLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.last()
}

func (l *entryLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.last()))
}

// unpersisted returns the entries that are not known to be persisted.
func (l *entryLog) unpersisted() []*apiv1.Entry {
	return l.slice(max(l.persisted, l.baseIndex), l.last())
}

// entriesToApply returns the entries that are committed and persisted but not applied yet.
func (l *entryLog) entriesToApply() []*apiv1.Entry {
	if l.pendingSnapshot != nil {
		return nil
	}
	return l.slice(l.applied, min(l.committed, l.persisted))
}

func (l *entryLog) markEntriesPersisted(index, term uint64) {
	if entryTerm, ok := l.term(index); ok && entryTerm == term {
		l.persisted = max(l.persisted, index)
	}
}

// restore replaces the log with a snapshot that a leader sent.
func (l *entryLog) restore(snapshot *Snapshot) {
	l.pendingSnapshot = snapshot
	l.snapshot = *snapshot
	l.resetTo(*snapshot)
	l.persisted = snapshot.Index
	l.committed = snapshot.Index
	l.applied = snapshot.Index
}

func (l *entryLog) markSnapshotPersisted(snapshot *Snapshot) {
	if l.pendingSnapshot == snapshot {
		l.pendingSnapshot = nil
	}
}

// compact installs a snapshot that this node made itself and drops older entries, except the newest ones before the
// snapshot's index, of which it retains the given number and bytes of data at most.
func (l *entryLog) compact(snapshot Snapshot, retained uint64, retainedBytes int) {
	l.snapshot = snapshot
	start := l.retainedAfter(snapshot.Index, retained, retainedBytes)
	if start == l.baseIndex {
		return
	}
	term, _ := l.term(start)
	base := l.membershipAt(start)
	kept := []membershipRecord{{start, base}}
	for _, record := range l.memberships {
		if record.index > start {
			kept = append(kept, record)
		}
	}
	l.entries = append([]*apiv1.Entry(nil), l.entries[start-l.baseIndex:]...)
	l.baseIndex, l.baseTerm, l.memberships = start, term, kept
}

// retainedAfter returns the index after which at most the given number of entries and bytes of data follow up to index.
func (l *entryLog) retainedAfter(index, retained uint64, retainedBytes int) uint64 {
	start := index
	for start > l.baseIndex && index-start < retained {
		if retainedBytes -= len(l.entries[start-l.baseIndex-1].Data); retainedBytes < 0 {
			break
		}
		start--
	}
	return start
}

// uncommittedBytes returns the total data of the entries that are not committed.
func (l *entryLog) uncommittedBytes() int {
	size := 0
	for _, entry := range l.slice(l.committed, l.last()) {
		size += len(entry.Data)
	}
	return size
}

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) *apiv1.ReplicaMembership {
	i := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index > index })
	return l.memberships[max(i-1, 0)].membership
}

func (l *entryLog) latestMembership() *apiv1.ReplicaMembership {
	return l.memberships[len(l.memberships)-1].membership
}

func (l *entryLog) latestMembershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}
