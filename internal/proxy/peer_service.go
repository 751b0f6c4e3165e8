package proxy

import (
	"context"
	"net"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/suspect"
)

// probeDial bounds the opening of a connection to the backend server beside this node.
const probeDial = 100 * time.Millisecond

// LocalServer is the backend server beside this node, as the node knows it.
type LocalServer interface {
	// Announced returns the announcement in force, nil when there is none.
	Announced() *apiv1.BackendServer
	// Drain takes the backend server out of service or puts it back, and returns its announcement.
	Drain(undo bool) *apiv1.BackendServer
}

// PeerService serves the other nodes and the platform (twirp service Traffic).
type PeerService struct {
	local    LocalServer
	suspects *suspect.Tracker
}

// NewPeerService returns the service of a node.
func NewPeerService(local LocalServer, suspects *suspect.Tracker) *PeerService {
	return &PeerService{local: local, suspects: suspects}
}

// Probe tells whether a start of the backend server beside this node is alive.
func (s *PeerService) Probe(_ context.Context, request *apiv1.ProbeServerRequest) (*apiv1.ProbeServerResponse, error) {
	info := s.local.Announced()
	if info == nil || info.Instance != request.Instance || info.Incarnation != request.Incarnation {
		return &apiv1.ProbeServerResponse{}, nil
	}
	opened, err := net.DialTimeout("tcp", info.Addr, probeDial)
	if err != nil {
		return &apiv1.ProbeServerResponse{}, nil
	}
	_ = opened.Close()
	return &apiv1.ProbeServerResponse{Alive: true}, nil
}

// Suspect records what another node reports about a request.
func (s *PeerService) Suspect(_ context.Context, request *apiv1.SuspectRequest) (*apiv1.SuspectResponse, error) {
	s.suspects.HandlePeerReport(request)
	return &apiv1.SuspectResponse{}, nil
}

// Drain takes the backend server out of service.
func (s *PeerService) Drain(_ context.Context, request *apiv1.DrainRequest) (*apiv1.DrainResponse, error) {
	info := s.local.Drain(request.Undo)
	return &apiv1.DrainResponse{Instance: info.GetInstance(), InFlight: info.GetInFlight()}, nil
}
