package cli

import (
	"context"

	apiv1 "samphireflow/api/v1"
)

func moveCancelCommand(s *session) *command {
	return &command{
		name: "cancel", args: "ID", synopsis: "end a running move; the old version takes all calls again",
		minArgs: 1, maxArgs: 1, session: s,
		run: func(ctx context.Context, s *session, args []string) error {
			request := &apiv1.CancelMoveRequest{RequestId: newID(), Operator: s.options.Operator, MoveId: args[0]}
			return sendMoveRequest(ctx, s, "cancel of move "+args[0], func(ctx context.Context, to *endpoint) (*apiv1.MoveResponse, error) {
				return to.moves.Cancel(ctx, request)
			})
		},
	}
}
