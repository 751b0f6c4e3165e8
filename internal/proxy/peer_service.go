package proxy

import (
	"context"
	"net"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/suspect"
)

// probeTimeout bounds the opening of a connection to the local backend server.
const probeTimeout = 100 * time.Millisecond

// LocalServer is the node's view of its local backend server.
type LocalServer interface {
	// Announced returns the current announcement, nil if there is none.
	Announced() *apiv1.BackendServer
	// Drain drains the backend server, or with undo puts it back into service, and returns its announcement once a restart
	// of this node does not undo that.
	Drain(ctx context.Context, undo bool) (*apiv1.BackendServer, error)
}

// PeerService implements the twirp service Traffic for other nodes and for the platform.
type PeerService struct {
	local    LocalServer
	suspects *suspect.Tracker
}

// NewPeerService returns the service for a node.
func NewPeerService(local LocalServer, suspects *suspect.Tracker) *PeerService {
	return &PeerService{local: local, suspects: suspects}
}

// Probe reports whether the given incarnation of the local backend server accepts connections.
func (s *PeerService) Probe(_ context.Context, request *apiv1.ProbeServerRequest) (*apiv1.ProbeServerResponse, error) {
	info := s.local.Announced()
	if info == nil || info.Instance != request.Instance || info.Incarnation != request.Incarnation {
		return &apiv1.ProbeServerResponse{}, nil
	}
	opened, err := net.DialTimeout("tcp", info.Addr, probeTimeout)
	if err != nil {
		return &apiv1.ProbeServerResponse{}, nil
	}
	_ = opened.Close()
	return &apiv1.ProbeServerResponse{Alive: true}, nil
}

// Suspect records the report of another node on a request.
func (s *PeerService) Suspect(_ context.Context, request *apiv1.SuspectRequest) (*apiv1.SuspectResponse, error) {
	s.suspects.HandlePeerReport(request)
	return &apiv1.SuspectResponse{}, nil
}

// Suspects lists the suspect requests that this node knows.
func (s *PeerService) Suspects(context.Context, *apiv1.SuspectsRequest) (*apiv1.SuspectsResponse, error) {
	return s.suspects.List(), nil
}

// Drain drains the local backend server or undoes its draining.
func (s *PeerService) Drain(ctx context.Context, request *apiv1.DrainRequest) (*apiv1.DrainResponse, error) {
	info, err := s.local.Drain(ctx, request.Undo)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &apiv1.DrainResponse{Instance: info.GetInstance(), InFlight: info.GetInFlight()}, nil
}
