package replica

import (
	"context"

	apiv1 "samphireflow/api/v1"
)

// Transport sends messages to other members. It may lose, duplicate and reorder them.
type Transport interface {
	// Send queues messages without blocking. It drops those that do not fit in the queue.
	Send(to Member, messages []*apiv1.ReplicationMessage)
	// Join calls the Join method of the instance at addr.
	Join(ctx context.Context, addr string, request *apiv1.JoinRequest) (*apiv1.JoinResponse, error)
	// Close stops the transport. Messages that are still queued may be lost.
	Close()
}
