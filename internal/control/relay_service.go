package control

import (
	"context"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// relayService serves the twirp service Relay to relays and to the other control instances.
type relayService struct {
	*Server
}

// Sync takes the leases of a relay or another control instance and answers with those that it lacks.
func (s relayService) Sync(_ context.Context, request *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	watched := source(s)
	response := distribution.AnswerSync(s.members, request, watched.MembersComplete(), s.now())
	response.Instance = s.options.Instance
	response.AgeMs = uint64(watched.Age().Milliseconds())
	return response, nil
}

// Probe tries to reach a node for another process.
func (s relayService) Probe(ctx context.Context, request *apiv1.ProbeRequest) (*apiv1.ProbeResponse, error) {
	return &apiv1.ProbeResponse{Reached: distribution.ProbeNode(ctx, s.peerClient, request.ControlAddr)}, nil
}
