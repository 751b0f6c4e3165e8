package node

import (
	"context"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// membershipService implements the twirp service Membership: the node handles announcements, its relay handles leases.
type membershipService struct {
	*distribution.Relay
	node *Node
}

// Announce handles a heartbeat of the backend server beside the node.
func (s membershipService) Announce(ctx context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	return s.node.Announce(ctx, request)
}
