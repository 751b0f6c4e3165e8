package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/snapshot"
)

// maxWatchWait is the longest time that a watch is held open.
const maxWatchWait = 30 * time.Second

// Watch answers when there is something that the node does not have (twirp service Distribution).
func (s *Server) Watch(ctx context.Context, request *apiv1.WatchRequest) (*apiv1.WatchResponse, error) {
	if request.FailureDomain == "" {
		return nil, twirp.RequiredArgumentError("failure_domain")
	}
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		configChanged, membersChanged := s.options.Machine.Changed(), s.members.Changed()
		response := s.watchResponse(request)
		if response.Snapshot != nil || response.Delta != nil || response.Members != nil {
			return response, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return response, nil
		case <-configChanged:
		case <-membersChanged:
		}
	}
}

func (s *Server) watchResponse(request *apiv1.WatchRequest) *apiv1.WatchResponse {
	view := s.options.Machine.View()
	response := &apiv1.WatchResponse{
		AcceptedVersion: view.Version,
		Members:         s.members.Since(request.MembersSource, request.MembersSeq),
	}
	if view.Version <= request.Version || view.Version == request.RefusedVersion {
		return response
	}
	snap := s.builder.snapshot(view, request.FailureDomain)
	if base := s.builder.base(request.FailureDomain, request.Version, request.Digest); base != nil {
		response.Delta = snapshot.Diff(base, snap)
		return response
	}
	response.Snapshot = snap
	return response
}

// Report takes the outcomes that a node has summed (twirp service Distribution).
func (s *Server) Report(_ context.Context, request *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	if s.reports.first(request) {
		s.outcomes.Add(request.Outcomes)
	}
	return &apiv1.ReportResponse{}, nil
}
