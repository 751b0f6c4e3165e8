package control

import (
	"context"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
)

// proposal is an operator's command with what its kind of answer needs.
type proposal[A any] struct {
	command *apiv1.Command
	// answer takes the answer from the result of the command.
	answer func(*apiv1.CommandResult) A
	// forward sends the request to the leader, given its base URL.
	forward func(ctx context.Context, leader string) (A, error)
	// failed makes the answer to a request that has no result.
	failed func(outcome apiv1.EditOutcome, detail string) A
}

// proposeOrForward proposes a command here, or at the leader where another instance leads. It answers every failure
// with a truthful outcome rather than with an error.
func proposeOrForward[A any](ctx context.Context, s *Server, p proposal[A]) A {
	result, err := s.propose(ctx, p.command)
	if err == nil {
		return p.answer(result)
	}
	if !errors.Is(err, replica.ErrNotLeader) {
		return p.failed(failedOutcome(err), err.Error())
	}
	marked, leader, err := s.forward(ctx, err)
	if err != nil {
		return p.failed(failedOutcome(err), err.Error())
	}
	forwarded, err := p.forward(marked, leader)
	if err != nil {
		return p.failed(apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN, err.Error())
	}
	return forwarded
}
