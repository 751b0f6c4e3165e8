package control

import (
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// source is what the watch server of a control instance reads: the view that the state machine has reached.
type source struct {
	*Server
}

// History returns the versions of a failure domain up to the newest view. Version 0 is empty and not handed down.
func (s source) History(failureDomain string) *distribution.History {
	view := s.options.Machine.View()
	history, err := s.builder.history(view, failureDomain)
	if err != nil {
		s.options.Logger.Error().Err(err).Msg("a snapshot was built wrong and is not handed down")
	}
	return history
}

// Redirect sends the nodes of a failure domain that has relays to them.
func (s source) Redirect(request *apiv1.WatchRequest) *apiv1.Assignment {
	relays := s.options.Machine.View().Assignment(request.FailureDomain, apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY)
	if len(relays.GetNodes()) == 0 || request.Relay && distribution.IsRelay(relays, request.Instance) {
		return nil
	}
	return relays
}

// Accepted returns the newest version that this instance knows to be accepted.
func (s source) Accepted() uint64 {
	return s.options.Machine.View().Version
}

// Changed returns a channel that is closed at the next version.
func (s source) Changed() <-chan struct{} {
	return s.options.Machine.Changed()
}

// Age returns the time since a quorum was heard.
func (s source) Age() time.Duration {
	return s.options.Log.Status().LastContact
}

// MembersComplete reports whether the table was taken over from another control instance, or is old enough for
// every relay to have told its leases.
func (s source) MembersComplete() bool {
	return s.exchange.Taken() || s.now().Sub(s.started) > distribution.MembersGrace
}

// ControlAddrs lists the members of the control group, so that nodes know of others than their settings name.
func (s source) ControlAddrs() []string {
	var addrs []string
	for _, member := range s.options.Log.Status().Members {
		addrs = append(addrs, member.ControlAddr)
	}
	return addrs
}
