package control

import (
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// watchSource provides the current view of the state machine to the watch server of a control instance.
type watchSource struct {
	*Server
}

// History returns the snapshots of a failure domain up to the current version. Version 0 is empty and is not distributed.
func (s watchSource) History(failureDomain string) *distribution.History {
	view := s.options.Machine.View()
	history, err := s.snapshotBuilder.history(view, failureDomain)
	if err != nil {
		s.options.Logger.Error().Err(err).Msg("built an invalid snapshot, which is not distributed")
	}
	return history
}

// Redirect returns the relays of a failure domain, from which its nodes must get their versions. It returns nil for a
// watcher that is served here: one of the relays, or any node of a failure domain without relays.
func (s watchSource) Redirect(request *apiv1.WatchRequest) *apiv1.Assignment {
	relays := s.options.Machine.View().Assignment(request.FailureDomain, apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY)
	if len(relays.GetNodes()) == 0 || request.Relay && distribution.IsRelay(relays, request.Instance) {
		return nil
	}
	return relays
}

// Accepted returns the newest version that this instance knows to be accepted.
func (s watchSource) Accepted() uint64 {
	return s.options.Machine.View().Version
}

// Changed returns a channel that is closed when the next version is applied.
func (s watchSource) Changed() <-chan struct{} {
	return s.options.Machine.Changed()
}

// Age returns the time since the last contact with the leader or, on the leader, with a quorum.
func (s watchSource) Age() time.Duration {
	return s.options.Log.Status().LastContact
}

// MembersComplete reports whether the table of members is complete: it was copied from another control instance, or this
// instance has run long enough for every relay to have sent its leases.
func (s watchSource) MembersComplete() bool {
	return s.memberExchange.Synced() || s.now().Sub(s.started) > distribution.MembersGrace
}

// ControlInstances returns the members of the control group, so that nodes learn of instances that are not in their
// settings.
func (s watchSource) ControlInstances() []*apiv1.ControlInstance {
	var list []*apiv1.ControlInstance
	for _, member := range s.options.Log.Status().Members {
		list = append(list, &apiv1.ControlInstance{ControlAddr: member.ControlAddr, FailureDomain: member.FailureDomain})
	}
	return list
}
