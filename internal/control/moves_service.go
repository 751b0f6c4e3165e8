package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
)

// maxFollowWait limits the time for which Follow waits.
const maxFollowWait = 30 * time.Second

// movesService serves the twirp service Moves.
type movesService struct {
	*Server
}

// Start proposes a move. A resendable request without an ID gets a random one.
func (s movesService) Start(ctx context.Context, request *apiv1.StartMoveRequest) (*apiv1.MoveResponse, error) {
	if request.MoveId == "" && request.Resendable {
		request.MoveId = fmt.Sprintf("%s.%016x", request.Service, rand.Uint64())
	}
	command := &apiv1.Command{Kind: &apiv1.Command_StartMove{StartMove: request}}
	return s.proposeMove(ctx, command, func(ctx context.Context, leader apiv1.Moves) (*apiv1.MoveResponse, error) {
		return leader.Start(ctx, request)
	})
}

// Cancel proposes to cancel a move. The old version gets all calls again.
func (s movesService) Cancel(ctx context.Context, request *apiv1.CancelMoveRequest) (*apiv1.MoveResponse, error) {
	command := &apiv1.Command{Kind: &apiv1.Command_CancelMove{CancelMove: request}}
	return s.proposeMove(ctx, command, func(ctx context.Context, leader apiv1.Moves) (*apiv1.MoveResponse, error) {
		return leader.Cancel(ctx, request)
	})
}

// forwardMoveFunc sends a request to the leader.
type forwardMoveFunc func(ctx context.Context, leader apiv1.Moves) (*apiv1.MoveResponse, error)

func (s movesService) proposeMove(ctx context.Context, command *apiv1.Command, forward forwardMoveFunc) (*apiv1.MoveResponse, error) {
	return proposeOrForward(ctx, s.Server, proposal[*apiv1.MoveResponse]{
		command: command,
		answer:  (*apiv1.CommandResult).GetMove,
		forward: func(ctx context.Context, leader string) (*apiv1.MoveResponse, error) {
			return forward(ctx, apiv1.NewMovesProtobufClient(leader, s.client))
		},
		failedAnswer: func(outcome apiv1.EditOutcome, detail string) *apiv1.MoveResponse {
			return &apiv1.MoveResponse{Outcome: outcome, Detail: detail}
		},
	}), nil
}

// List lists moves from the oldest to the newest.
func (s movesService) List(ctx context.Context, request *apiv1.ListMovesRequest) (*apiv1.ListMovesResponse, error) {
	if _, err := s.prepareRead(ctx, !request.Linearizable); err != nil {
		return nil, err
	}
	response := &apiv1.ListMovesResponse{}
	for _, move := range s.options.Machine.View().Moves() {
		if request.Service != "" && move.Service != request.Service {
			continue
		}
		if request.RunningOnly && move.EndedUnixMs != 0 {
			continue
		}
		response.Moves = append(response.Moves, move)
	}
	return response, nil
}

// Follow waits until a move has a newer revision than the request names, or until its wait time has passed, and returns
// the move. A move that does not exist yet is waited for as well.
func (s movesService) Follow(ctx context.Context, request *apiv1.FollowMoveRequest) (*apiv1.MoveResponse, error) {
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxFollowWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := s.options.Machine.Changed()
		move := s.options.Machine.View().Move(request.MoveId)
		if move == nil && request.AfterRevision == 0 && wait == 0 {
			return nil, twirp.NotFoundError("there is no such move")
		}
		if move != nil && move.Revision > request.AfterRevision {
			return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Move: move}, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			if move == nil {
				return nil, twirp.NotFoundError("there is no such move")
			}
			return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Move: move}, nil
		case <-changed:
		}
	}
}

// Moves returns the twirp service Moves of this instance for use within the process.
func (s *Server) Moves() apiv1.Moves {
	return movesService{s}
}
