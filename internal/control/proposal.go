package control

import (
	"context"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
)

// proposal is a command of an operator, with the functions for its kind of answer A.
type proposal[A any] struct {
	command *apiv1.Command
	// answer returns the answer that is part of the result of the command.
	answer func(*apiv1.CommandResult) A
	// forward sends the request to the leader with the given base URL.
	forward func(ctx context.Context, leader string) (A, error)
	// failedAnswer returns the answer to a request whose command has no result.
	failedAnswer func(outcome apiv1.EditOutcome, detail string) A
}

// proposeOrForward proposes a command, or forwards the request if another instance leads. It returns each failure as an
// answer instead of an error, so that the outcome tells whether the command may still take effect.
func proposeOrForward[A any](ctx context.Context, s *Server, p proposal[A]) A {
	result, err := s.propose(ctx, p.command)
	if err == nil {
		return p.answer(result)
	}
	if !errors.Is(err, replica.ErrNotLeader) {
		return p.failedAnswer(outcomeOfError(err), err.Error())
	}
	marked, leader, err := s.forwardTarget(ctx, err)
	if err != nil {
		return p.failedAnswer(outcomeOfError(err), err.Error())
	}
	forwarded, err := p.forward(marked, leader)
	if err != nil {
		return p.failedAnswer(apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN, err.Error())
	}
	return forwarded
}
