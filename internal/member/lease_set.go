package member

import (
	"maps"
	"slices"
	"time"
)

// leaseSet holds the leases of one kind of record.
type leaseSet[R record] struct {
	// self is the process that holds the table.
	self     string
	counters *counters
	leases   map[string]*lease[R]
	// declaredGone maps an instance whose home is this process to the revision at which another table declared it gone.
	// The node refutes that by announcing a higher revision.
	declaredGone map[string]uint64
	kind         recordKind[R]
}

// recordKind holds the functions that depend on the type of the records.
type recordKind[R record] struct {
	// gone reports whether a record ends its lease.
	gone func(R) bool
	// end returns a copy of a record that ends its lease.
	end func(R) R
	// sameForReaders reports whether two records look the same to readers.
	sameForReaders func(a, b R) bool
	// precedence orders two records of one incarnation by what outranks their revisions; 0 if nothing does.
	precedence func(a, b R) int
}

func newLeaseSet[R record](self string, counters *counters, kind recordKind[R]) *leaseSet[R] {
	return &leaseSet[R]{self: self, counters: counters, leases: map[string]*lease[R]{}, declaredGone: map[string]uint64{}, kind: kind}
}

// compare orders two records of one instance by incarnation, then by precedence, then by revision; of two that agree in all,
// the one that ends the lease is the newer. The result is negative when a is older than b.
func (s *leaseSet[R]) compare(a, b R) int {
	aGone, bGone := s.kind.gone(a), s.kind.gone(b)
	precedence := s.kind.precedence(a, b)
	switch {
	case a.GetIncarnation() != b.GetIncarnation():
		return sign(a.GetIncarnation() > b.GetIncarnation())
	case precedence != 0:
		return precedence
	case a.GetRevision() != b.GetRevision():
		return sign(a.GetRevision() > b.GetRevision())
	case aGone != bGone:
		return sign(aGone)
	}
	return 0
}

func sign(positive bool) int {
	if positive {
		return 1
	}
	return -1
}

// put stores a record if it is newer than the known one or restores a dropped lease. It reports whether it did.
func (s *leaseSet[R]) put(r R, now time.Time) bool {
	known := s.leases[r.GetInstance()]
	if known != nil && s.compare(r, known.record) <= 0 && !s.restoresDropped(r, known) {
		return false
	}
	gone := s.kind.gone(r)
	s.counters.syncSeq++
	next := &lease[R]{record: r, gone: gone, syncSeq: s.counters.syncSeq, expires: now.Add(LeaseTime)}
	if gone {
		next.expires = now.Add(tombstoneRetention)
	}
	if known != nil && known.gone == gone && s.kind.sameForReaders(known.record, r) {
		next.seq = known.seq
	} else {
		s.counters.seq++
		next.seq = s.counters.seq
	}
	s.leases[r.GetInstance()] = next
	return true
}

// restoresDropped reports whether a record announces a dropped lease again, at the same incarnation and revision.
func (s *leaseSet[R]) restoresDropped(r R, known *lease[R]) bool {
	return known.dropped && !s.kind.gone(r) &&
		r.GetIncarnation() == known.record.GetIncarnation() && r.GetRevision() == known.record.GetRevision()
}

// reconcile ends the active leases that the full list of another table lacks and marks them as dropped. It keeps those
// whose home is this process or is in contact with it.
func (s *leaseSet[R]) reconcile(listed []R, now time.Time, inContact func(home string) bool) {
	names := make(map[string]bool, len(listed))
	for _, r := range listed {
		names[r.GetInstance()] = true
	}
	for instance, l := range s.leases {
		home := l.record.GetHome()
		if !l.gone && !names[instance] && home != s.self && !inContact(home) && s.put(s.kind.end(l.record), now) {
			s.leases[instance].dropped = true
		}
	}
}

// renew applies a record that the node itself sent. It returns 0 when the record is accepted or comes from an older
// incarnation, and otherwise the revision that the node must exceed.
func (s *leaseSet[R]) renew(r R, now time.Time) uint64 {
	if s.put(r, now) {
		s.leases[r.GetInstance()].fromNode = true
		return s.revisionToExceed(r)
	}
	known := s.leases[r.GetInstance()]
	if r.GetIncarnation() < known.record.GetIncarnation() || s.overruling(r) != nil {
		return 0
	}
	if s.compare(r, known.record) != 0 || known.record.GetHome() != s.self {
		return max(known.record.GetRevision(), 1)
	}
	if !known.gone {
		known.expires = now.Add(LeaseTime)
	}
	known.fromNode = true
	return s.revisionToExceed(r)
}

// overruling returns the known lease of the same incarnation whose record takes precedence over the given one, nil if there is
// none.
func (s *leaseSet[R]) overruling(r R) *lease[R] {
	known := s.leases[r.GetInstance()]
	if known == nil || known.record.GetIncarnation() != r.GetIncarnation() || s.kind.precedence(known.record, r) <= 0 {
		return nil
	}
	return known
}

// renewUnchanged extends a lease whose record has not changed. It reports false when the node has to send the record:
// this process is not the home of an active lease with the record that the node has sent, or another table declared the instance gone.
func (s *leaseSet[R]) renewUnchanged(instance string, now time.Time) bool {
	known := s.leases[instance]
	if known == nil || known.gone || known.record.GetHome() != s.self || !known.fromNode {
		return false
	}
	if _, declared := s.declaredGone[instance]; declared {
		return false
	}
	known.expires = now.Add(LeaseTime)
	return true
}

// revisionToExceed returns the revision at which another table declared the instance gone, or 0 when the record refutes
// that with a higher revision.
func (s *leaseSet[R]) revisionToExceed(r R) uint64 {
	declared := s.declaredGone[r.GetInstance()]
	if r.GetRevision() <= declared {
		return declared
	}
	delete(s.declaredGone, r.GetInstance())
	return 0
}

// merge applies a record of another table. It ignores the end of a lease that is active here and whose home is this
// process, since the node still renews it: the node is asked to refute the end instead. It reports whether the record was
// stored.
func (s *leaseSet[R]) merge(r R, now time.Time) bool {
	known := s.leases[r.GetInstance()]
	if known != nil && s.kind.gone(r) && s.activeHere(known, now) &&
		known.record.GetIncarnation() == r.GetIncarnation() && known.record.GetRevision() == r.GetRevision() {
		s.declaredGone[r.GetInstance()] = r.GetRevision()
		return false
	}
	return s.put(r, now)
}

// activeHere reports whether the lease has not run out and has this process as its home.
func (s *leaseSet[R]) activeHere(l *lease[R], now time.Time) bool {
	return !l.gone && l.record.GetHome() == s.self && now.Before(l.expires)
}

// overdue lists the records whose active lease has run out, in order of instance name. The lease of another home counts
// only if contact with that home is lost, because its renewals go there.
func (s *leaseSet[R]) overdue(now time.Time, contactLost func(home string) bool) []R {
	var list []R
	for _, instance := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[instance]
		here := l.record.GetHome() == s.self
		if !l.gone && (here && now.After(l.expires) || !here && contactLost(l.record.GetHome()) && now.After(l.expires)) {
			list = append(list, l.record)
		}
	}
	return list
}

// extend extends an active lease by one lease time without a renewal.
func (s *leaseSet[R]) extend(instance string, now time.Time) {
	if l := s.leases[instance]; l != nil && !l.gone {
		l.expires = now.Add(LeaseTime)
	}
}

// end ends a lease, unless its record has changed since the given one. It reports whether it did.
func (s *leaseSet[R]) end(r R, now time.Time) bool {
	known := s.leases[r.GetInstance()]
	if known == nil || known.record != r {
		return false
	}
	return s.put(s.kind.end(r), now)
}

// purge removes the tombstones that have expired.
func (s *leaseSet[R]) purge(now time.Time) {
	for instance, l := range s.leases {
		if l.gone && now.After(l.expires) {
			s.counters.purgedSeq = max(s.counters.purgedSeq, l.seq)
			s.counters.purgedSyncSeq = max(s.counters.purgedSyncSeq, l.syncSeq)
			delete(s.leases, instance)
		}
	}
}

// active lists the records whose lease has not ended, in order of instance name.
func (s *leaseSet[R]) active() []R {
	var list []R
	for _, instance := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[instance]; !l.gone {
			list = append(list, l.record)
		}
	}
	return list
}

// changedAt lists the records of one home that changed after a sync sequence number, in order of instance name.
func (s *leaseSet[R]) changedAt(home string, since uint64) []R {
	return s.changed(since, func(l *lease[R]) bool { return l.record.GetHome() == home })
}

// changedFor lists the records that changed after a sync sequence number, for the process receiver. Its own active leases
// are left out, since it has their newest records; their ends are not, since it has its nodes refute them.
func (s *leaseSet[R]) changedFor(receiver string, since uint64) []R {
	return s.changed(since, func(l *lease[R]) bool { return l.gone || l.record.GetHome() != receiver })
}

func (s *leaseSet[R]) changed(since uint64, wanted func(*lease[R]) bool) []R {
	var list []R
	for _, instance := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[instance]; l.syncSeq > since && wanted(l) {
			list = append(list, l.record)
		}
	}
	return list
}
