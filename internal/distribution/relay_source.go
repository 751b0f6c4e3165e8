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

// Redirect returns the current relays while this node is not one of them, nil while it is.
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

// Changed returns a channel that is closed when the next version is released.
func (s *relayState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.releaseChanged
}

// noContactAge is reported as the age while a relay has had no contact with the control group since its start.
const noContactAge = time.Hour

// Age returns the time since the last contact with a quorum of the control group, direct or through other processes.
func (s *relayState) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastContact.IsZero() {
		return noContactAge
	}
	return max(0, time.Since(s.lastContact))
}

// MembersComplete reports whether the table of another process has been received, or enough time has passed since the
// start for every live node to have renewed its lease.
func (s *relayState) MembersComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membersComplete || time.Since(s.started) > MembersGrace
}

// ControlInstances returns nil, because the nodes that follow a relay have the control instances from their settings.
func (s *relayState) ControlInstances() []*apiv1.ControlInstance { return nil }
