package node

import "time"

// appliedInterval is the least time between two announcements of the applied version by a node that follows control
// instances directly. There only the list of instances for operators shows it.
const appliedInterval = 10 * time.Second

// announceSchedule decides when a node announces the version that it has applied. Its zero value announces each at once.
//
// Load pattern: each announcement is a whole record of the node that every control instance gets. A storm of versions
// makes all nodes announce each of them, so that the records grow with versions, nodes and control instances alike.
type announceSchedule struct {
	interval time.Duration
	next     time.Time
	pending  bool
}

// record notes a newly applied version and reports whether to announce it now.
func (s *announceSchedule) record(now time.Time) bool {
	s.pending = true
	return s.due(now)
}

// due reports whether an applied version is to be announced now, and if so takes it as announced.
func (s *announceSchedule) due(now time.Time) bool {
	if !s.pending || now.Before(s.next) {
		return false
	}
	s.pending, s.next = false, now.Add(s.interval)
	return true
}
