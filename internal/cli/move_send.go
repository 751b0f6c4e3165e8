package cli

import (
	"context"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// sendMove sends an idempotent request until its fate is known and prints the move.
func sendMove(ctx context.Context, s *session, what string, try attempt[*apiv1.MoveResponse]) error {
	g, err := s.group()
	if err != nil {
		return err
	}
	answer, err := send(ctx, g, try, func(answer *apiv1.MoveResponse) bool { return finalOutcome(answer.Outcome) })
	if err != nil {
		return errors.Wrap(err, what)
	}
	if answer.Outcome != apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
		return outcomeError(what, answer.Outcome, moveRefusal(answer))
	}
	p := s.printer()
	return p.message(answer, func() error { return p.line("%s", moveLine(answer.Move)) })
}

// moveRefusal says why a request was refused and which move holds the service now.
func moveRefusal(answer *apiv1.MoveResponse) string {
	if answer.Move == nil {
		return answer.Detail
	}
	return answer.Detail + "; now: " + moveLine(answer.Move)
}
