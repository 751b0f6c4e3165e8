package cli

import (
	"context"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

const maxFollowWait = 10 * time.Second

func moveFollowCommand(s *session) *command {
	return &command{
		name: "follow", args: "ID", synopsis: "print each change of a move until it has ended; the exit code is its end",
		minArgs: 1, maxArgs: 1, session: s,
		run: func(ctx context.Context, s *session, args []string) error {
			return followMove(ctx, s, args[0])
		},
	}
}

// followMove prints a move at each new revision until it has ended. The timeout applies to each request, not to the
// whole move.
func followMove(ctx context.Context, s *session, id string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	request := &apiv1.FollowMoveRequest{MoveId: id, WaitMs: uint32(followWait(c).Milliseconds())}
	for {
		response, err := readWithRetry(ctx, c, func(ctx context.Context, to *endpoint) (*apiv1.MoveResponse, error) {
			return to.moves.Follow(ctx, request)
		})
		if err != nil {
			return errors.Wrapf(err, "follow move %s", id)
		}
		if response.Move == nil {
			return outcomeError("follow move "+id, response.Outcome, response.Detail)
		}
		if response.Move.Revision <= request.AfterRevision {
			continue
		}
		request.AfterRevision = response.Move.Revision
		if err := printMove(s.printer(), response.Move); err != nil {
			return err
		}
		if status, ended := moveExitStatus(response.Move.State); ended {
			return quietExit(status)
		}
	}
}

// followWait returns how long an instance may hold a request while it waits for a change of the move (long poll). It is at
// most half of the attempt's timeout, which leaves time for the response.
func followWait(c *client) time.Duration {
	return min(c.attemptTimeout()/2, maxFollowWait)
}

func printMove(p *printer, move *apiv1.Move) error {
	if p.format == outputJSON {
		return p.json(move, false)
	}
	return p.line("%s", moveLine(move))
}

// moveExitStatus returns the exit code for the final state of a move. It reports false for a move that has not ended.
func moveExitStatus(state apiv1.MoveState) (subcommands.ExitStatus, bool) {
	switch state {
	case apiv1.MoveState_MOVE_STATE_DONE:
		return ExitOK, true
	case apiv1.MoveState_MOVE_STATE_TAKEN_BACK:
		return ExitRolledBack, true
	case apiv1.MoveState_MOVE_STATE_CANCELLED:
		return ExitCancelled, true
	case apiv1.MoveState_MOVE_STATE_EXPIRED:
		return ExitExpired, true
	}
	return ExitOK, false
}
