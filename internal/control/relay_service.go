package control

import (
	"context"
	"slices"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/member"
)

// relayService serves the twirp service Relay to relays and to the other control instances.
type relayService struct {
	*Server
}

// Sync adds the leases that a relay or another control instance sends and returns the leases that the sender lacks.
func (s relayService) Sync(ctx context.Context, request *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	source := watchSource(s)
	response := distribution.HandleSync(s.members, request, source.MembersComplete(), s.now())
	if slices.ContainsFunc(request.Servers, member.CarriesDrain) {
		// A failure is logged, and the departure loop tries again.
		_ = s.departureSaver.Wait(ctx)
	}
	response.Instance = s.options.Instance
	response.AgeMs = uint64(source.Age().Milliseconds())
	return response, nil
}

// Probe reports whether this instance reaches a node. A process that does not reach the node asks for it.
func (s relayService) Probe(ctx context.Context, request *apiv1.ProbeRequest) (*apiv1.ProbeResponse, error) {
	return &apiv1.ProbeResponse{Reached: distribution.ProbeNode(ctx, s.peerClient, request.ControlAddr)}, nil
}
