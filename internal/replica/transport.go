package replica

import (
	"context"

	apiv1 "samphireflow/api/v1"
)

// Transport carries messages to other members. It may lose, repeat and reorder them.
type Transport interface {
	// Send queues messages and returns at once; it drops them when the queue is full.
	Send(to Member, messages []*apiv1.ReplicationMessage)
	// Join calls the Join method of the instance at an address.
	Join(ctx context.Context, addr string, request *apiv1.JoinRequest) (*apiv1.JoinResponse, error)
	Close()
}
