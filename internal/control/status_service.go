package control

import (
	"context"

	apiv1 "samphireflow/api/v1"
)

// Get returns the state of this control instance (twirp service Status).
func (s *Server) Get(context.Context, *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	status := s.options.Log.Status()
	return &apiv1.StatusResponse{
		Instance:     s.options.Instance,
		Leader:       status.Leader,
		Term:         status.Term,
		CommitIndex:  status.Commit,
		AppliedIndex: status.Applied,
		Version:      s.options.Machine.View().Version,
		Voters:       status.Voters,
	}, nil
}

// Version returns the configuration version that this instance has applied, and its term.
func (s *Server) Version() (version, term uint64) {
	view := s.options.Machine.View()
	return view.Version, view.Term
}

// Ready reports whether this instance knows a leader.
func (s *Server) Ready() bool {
	return s.options.Log.Status().Leader != ""
}
