package replica

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
)

// replicationServer implements the Replication service.
type replicationServer struct {
	replica *Replica
}

// ReplicationServer returns the twirp service that receives the messages and join requests of other instances.
func (r *Replica) ReplicationServer() apiv1.Replication {
	return &replicationServer{r}
}

// Step queues messages of another member. It returns an error if the queue is full.
func (s *replicationServer) Step(_ context.Context, request *apiv1.StepRequest) (*apiv1.StepResponse, error) {
	if request.ClusterId != s.replica.options.ClusterID {
		return nil, errForeignCluster()
	}
	select {
	case s.replica.inbox <- request:
	case <-s.replica.done:
		return nil, twirp.NewError(twirp.Unavailable, "the replica is closed")
	default:
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many messages are queued")
	}
	return &apiv1.StepResponse{}, nil
}

// Join handles the join request of an instance. It responds only if what it recorded could be stored.
func (s *replicationServer) Join(ctx context.Context, request *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	if request.ClusterId != s.replica.options.ClusterID {
		return nil, errForeignCluster()
	}
	if request.Member == nil {
		return nil, twirp.RequiredArgumentError("member")
	}
	var response *apiv1.JoinResponse
	err := s.replica.runOnLoop(ctx, func() {
		answer := s.replica.handleJoin(request)
		if s.replica.joinStorageError == nil {
			response = answer
		}
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if response == nil {
		return nil, twirp.NewError(twirp.Unavailable, ErrStopped.Error())
	}
	return response, nil
}

func errForeignCluster() error {
	return twirp.NewError(twirp.FailedPrecondition, "this instance belongs to another cluster")
}
