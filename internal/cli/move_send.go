package cli

import (
	"context"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// sendMoveRequest sends an idempotent request about a move, retries it until its outcome is known, and prints the move.
func sendMoveRequest(ctx context.Context, s *session, action string, try attempt[*apiv1.MoveResponse]) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	response, err := sendWithRetry(ctx, c, try, func(response *apiv1.MoveResponse) bool { return isFinalOutcome(response.Outcome) })
	if err != nil {
		return errors.Wrap(err, action)
	}
	if response.Outcome != apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
		return outcomeError(action, response.Outcome, moveRefusal(response))
	}
	p := s.printer()
	return p.message(response, func() error { return p.line("%s", moveLine(response.Move)) })
}

// moveRefusal returns the reason for which a request was refused and, if the response has it, the move in its current
// state: the requested one, or the one that prevents it.
func moveRefusal(response *apiv1.MoveResponse) string {
	if response.Move == nil {
		return response.Detail
	}
	return response.Detail + "; now: " + moveLine(response.Move)
}
