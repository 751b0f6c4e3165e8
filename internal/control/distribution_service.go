package control

import (
	"context"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// distributionService serves the twirp service Distribution.
type distributionService struct {
	*distribution.WatchServer
	server *Server
}

// Report adds the call outcomes that a relay or a node has summed. A report that was received before is ignored.
func (s distributionService) Report(_ context.Context, request *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	if s.server.reportDeduplicator.IsNew(request) {
		s.server.outcomes.Add(request.Outcomes)
	}
	return &apiv1.ReportResponse{}, nil
}

// Floor returns the newest version by a linearizable read. If no quorum answers, it returns the version that is applied
// here, with Synced false.
func (s distributionService) Floor(ctx context.Context, request *apiv1.FloorRequest) (*apiv1.FloorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, linearizableReadTimeout)
	defer cancel()
	err := s.server.readBatcher.Wait(ctx)
	view := s.server.options.Machine.View()
	relays := view.Assignment(request.FailureDomain, apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY)
	return &apiv1.FloorResponse{
		Instance:         s.server.options.Instance,
		Version:          view.Version,
		Synced:           err == nil,
		AgeMs:            uint64(s.server.options.Log.Status().LastContact.Milliseconds()),
		Relays:           relays,
		NewestRelays:     relays,
		ControlInstances: watchSource{s.server}.ControlInstances(),
	}, nil
}
