package distribution

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// History returns the released versions of the relay's own failure domain.
func (s *relayState) History(failureDomain string) *History {
	if failureDomain != s.failureDomain {
		return nil
	}
	return s.released
}

// Redirect sends watchers away while this node is not one of the relays.
func (s *relayState) Redirect(*apiv1.WatchRequest) *apiv1.Assignment {
	relays := s.currentRelays()
	if IsRelay(relays, s.instance) {
		return nil
	}
	return relays
}

// Accepted returns the newest version that is known to be accepted.
func (s *relayState) Accepted() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Changed returns a channel that is closed at the next release.
func (s *relayState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// unheardAge stands for the age of the word of a relay that has heard nothing since its start.
const unheardAge = time.Hour

// Age returns the time since a quorum of the control group was heard.
func (s *relayState) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard.IsZero() {
		return unheardAge
	}
	return max(0, time.Since(s.heard))
}

// MembersComplete reports whether the table was taken over, or is old enough for every live node to have renewed.
func (s *relayState) MembersComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membersComplete || time.Since(s.started) > MembersGrace
}

// ControlAddrs is empty: the nodes of a relay have the control instances from their settings.
func (s *relayState) ControlAddrs() []string { return nil }
