package cli

import (
	"context"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

const longestFollowWait = 10 * time.Second

func moveFollowCommand(s *session) *command {
	return &command{
		name: "follow", args: "ID", synopsis: "print each change of a move until it has ended; the exit code is its end",
		minArgs: 1, maxArgs: 1, session: s,
		run: func(ctx context.Context, s *session, args []string) error {
			return followMove(ctx, s, args[0])
		},
	}
}

// followMove prints a move at each new revision. The timeout holds for each answer, not for the move.
func followMove(ctx context.Context, s *session, id string) error {
	g, err := s.group()
	if err != nil {
		return err
	}
	request := &apiv1.FollowMoveRequest{MoveId: id, WaitMs: uint32(followWait(g).Milliseconds())}
	for {
		answer, err := read(ctx, g, func(ctx context.Context, to *endpoint) (*apiv1.MoveResponse, error) {
			return to.moves.Follow(ctx, request)
		})
		if err != nil {
			return errors.Wrapf(err, "follow move %s", id)
		}
		if answer.Move == nil {
			return outcomeError("follow move "+id, answer.Outcome, answer.Detail)
		}
		if answer.Move.Revision <= request.AfterRevision {
			continue
		}
		request.AfterRevision = answer.Move.Revision
		if err := printChange(s.printer(), answer.Move); err != nil {
			return err
		}
		if status, over := endOf(answer.Move.State); over {
			return ended(status)
		}
	}
}

// followWait is the time of one long poll; it leaves time for the answer within an attempt.
func followWait(g *group) time.Duration {
	return min(g.attemptTimeout()/2, longestFollowWait)
}

func printChange(p *printer, move *apiv1.Move) error {
	if p.format == outputJSON {
		return p.json(move, false)
	}
	return p.line("%s", moveLine(move))
}

// endOf returns the exit code of an ended move; it reports false for one that goes on.
func endOf(state apiv1.MoveState) (subcommands.ExitStatus, bool) {
	switch state {
	case apiv1.MoveState_MOVE_STATE_DONE:
		return ExitOK, true
	case apiv1.MoveState_MOVE_STATE_TAKEN_BACK:
		return ExitTakenBack, true
	case apiv1.MoveState_MOVE_STATE_CANCELLED:
		return ExitCancelled, true
	case apiv1.MoveState_MOVE_STATE_EXPIRED:
		return ExitExpired, true
	}
	return ExitOK, false
}
