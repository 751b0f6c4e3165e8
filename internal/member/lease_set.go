package member

import (
	"maps"
	"slices"
	"time"
)

// leaseSet holds the leases of one kind of record.
type leaseSet[R record] struct {
	self     string
	counters *counters
	leases   map[string]*lease[R]
	// refuted holds the revision under which others took an instance at home here for gone.
	refuted map[string]uint64
	kind    recordKind[R]
}

// recordKind is what a set needs to know of its records.
type recordKind[R record] struct {
	// gone reports whether a record ends its lease.
	gone func(R) bool
	// end returns a copy that ends the lease.
	end func(R) R
	// same reports whether readers see no difference between two records.
	same func(a, b R) bool
}

func newLeaseSet[R record](self string, counters *counters, kind recordKind[R]) *leaseSet[R] {
	return &leaseSet[R]{self: self, counters: counters, leases: map[string]*lease[R]{}, refuted: map[string]uint64{}, kind: kind}
}

// order compares what two records say about one instance: by incarnation, then revision, then the end of the lease,
// which wins over a lease of the same revision. It is negative when a is the older word.
func (s *leaseSet[R]) order(a, b R) int {
	aGone, bGone := s.kind.gone(a), s.kind.gone(b)
	switch {
	case a.GetIncarnation() != b.GetIncarnation():
		return sign(a.GetIncarnation() > b.GetIncarnation())
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

// put takes a record in when it is newer than the known one.
func (s *leaseSet[R]) put(r R, now time.Time) bool {
	known := s.leases[r.GetInstance()]
	if known != nil && s.order(r, known.record) <= 0 && !s.revives(r, known) {
		return false
	}
	gone := s.kind.gone(r)
	s.counters.syncSeq++
	next := &lease[R]{record: r, gone: gone, syncSeq: s.counters.syncSeq, expires: now.Add(LeaseTime)}
	if gone {
		next.expires = now.Add(goneMemory)
	}
	if known != nil && known.gone == gone && s.kind.same(known.record, r) {
		next.seq = known.seq
	} else {
		s.counters.seq++
		next.seq = s.counters.seq
	}
	s.leases[r.GetInstance()] = next
	return true
}

// revives reports whether a record is the word of a lease that was dropped.
func (s *leaseSet[R]) revives(r R, known *lease[R]) bool {
	return known.dropped && !s.kind.gone(r) &&
		r.GetIncarnation() == known.record.GetIncarnation() && r.GetRevision() == known.record.GetRevision()
}

// reconcile drops the running leases that a complete list of another table lacks, apart from those whose home is
// heard here.
func (s *leaseSet[R]) reconcile(listed []R, now time.Time, heard func(home string) bool) {
	names := make(map[string]bool, len(listed))
	for _, r := range listed {
		names[r.GetInstance()] = true
	}
	for instance, l := range s.leases {
		home := l.record.GetHome()
		if !l.gone && !names[instance] && home != s.self && !heard(home) && s.put(s.kind.end(l.record), now) {
			s.leases[instance].dropped = true
		}
	}
}

// renew takes in the word of the node itself. It returns the revision that the node must exceed to be believed, 0
// when it is believed.
func (s *leaseSet[R]) renew(r R, now time.Time) uint64 {
	if s.put(r, now) {
		return s.answerRefuted(r)
	}
	known := s.leases[r.GetInstance()]
	if r.GetIncarnation() < known.record.GetIncarnation() {
		return 0
	}
	if s.order(r, known.record) != 0 || known.record.GetHome() != s.self {
		return max(known.record.GetRevision(), 1)
	}
	if !known.gone {
		known.expires = now.Add(LeaseTime)
	}
	return s.answerRefuted(r)
}

// keep extends a lease at home here whose record has not changed. It reports whether the lease is known.
func (s *leaseSet[R]) keep(instance string, now time.Time) bool {
	known := s.leases[instance]
	if known == nil || known.gone || known.record.GetHome() != s.self {
		return false
	}
	if _, refuted := s.refuted[instance]; refuted {
		return false
	}
	known.expires = now.Add(LeaseTime)
	return true
}

func (s *leaseSet[R]) answerRefuted(r R) uint64 {
	refuted := s.refuted[r.GetInstance()]
	if r.GetRevision() <= refuted {
		return refuted
	}
	delete(s.refuted, r.GetInstance())
	return 0
}

// merge takes in the word of another table. The end of a lease that runs at home here is not believed: its node is
// asked to refute it.
func (s *leaseSet[R]) merge(r R, now time.Time) bool {
	known := s.leases[r.GetInstance()]
	if known != nil && s.kind.gone(r) && s.runsHere(known, now) &&
		known.record.GetIncarnation() == r.GetIncarnation() && known.record.GetRevision() == r.GetRevision() {
		s.refuted[r.GetInstance()] = r.GetRevision()
		return false
	}
	return s.put(r, now)
}

func (s *leaseSet[R]) runsHere(l *lease[R], now time.Time) bool {
	return !l.gone && l.record.GetHome() == s.self && now.Before(l.expires)
}

// overdue lists the records whose lease has run out, by instance name: those at home here that were not renewed,
// and those whose home has been silent since before a time.
func (s *leaseSet[R]) overdue(now time.Time, silent func(home string) bool) []R {
	var list []R
	for _, instance := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[instance]
		here := l.record.GetHome() == s.self
		if !l.gone && (here && now.After(l.expires) || !here && silent(l.record.GetHome()) && now.After(l.expires)) {
			list = append(list, l.record)
		}
	}
	return list
}

// extend keeps a lease that nobody renewed for one more lease time.
func (s *leaseSet[R]) extend(instance string, now time.Time) {
	if l := s.leases[instance]; l != nil && !l.gone {
		l.expires = now.Add(LeaseTime)
	}
}

// end ends a lease, unless there was newer word since the given record.
func (s *leaseSet[R]) end(r R, now time.Time) bool {
	known := s.leases[r.GetInstance()]
	if known == nil || known.record != r {
		return false
	}
	return s.put(s.kind.end(r), now)
}

// forget drops the ended leases that need no longer be remembered.
func (s *leaseSet[R]) forget(now time.Time) {
	for instance, l := range s.leases {
		if l.gone && now.After(l.expires) {
			s.counters.forgotten = max(s.counters.forgotten, l.seq)
			s.counters.syncForgotten = max(s.counters.syncForgotten, l.syncSeq)
			delete(s.leases, instance)
		}
	}
}

// live lists the records whose lease runs, by instance name.
func (s *leaseSet[R]) live() []R {
	var list []R
	for _, instance := range slices.Sorted(maps.Keys(s.leases)) {
		if l := s.leases[instance]; !l.gone {
			list = append(list, l.record)
		}
	}
	return list
}

// changed lists the records that changed after a sync number, by instance name; an empty home means all homes.
func (s *leaseSet[R]) changed(since uint64, home string) []R {
	var list []R
	for _, instance := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[instance]
		if l.syncSeq > since && (home == "" || l.record.GetHome() == home) {
			list = append(list, l.record)
		}
	}
	return list
}
