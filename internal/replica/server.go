package replica

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
)

// server is the Replication service of a replica.
type server struct {
	replica *Replica
}

// Server returns the twirp service that the other members send to.
func (r *Replica) Server() apiv1.Replication {
	return &server{r}
}

// Step queues messages of another member; it drops them when the queue is full.
func (s *server) Step(_ context.Context, request *apiv1.StepRequest) (*apiv1.StepResponse, error) {
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

// Join answers an instance that has no group yet.
func (s *server) Join(ctx context.Context, request *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	if request.ClusterId != s.replica.options.ClusterID {
		return nil, errForeignCluster()
	}
	if request.Member == nil {
		return nil, twirp.RequiredArgumentError("member")
	}
	var response *apiv1.JoinResponse
	err := s.replica.call(ctx, func() {
		answer := s.replica.answerJoin(request)
		if s.replica.storageError == nil {
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
