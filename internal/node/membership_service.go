package node

import (
	"context"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// membershipService serves the twirp service Membership: announcements go to the node, leases to its relay.
type membershipService struct {
	*distribution.Relay
	node *Node
}

// Announce takes the heartbeat of the backend server beside the node.
func (s membershipService) Announce(ctx context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	return s.node.Announce(ctx, request)
}
