package deployment

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "samphireflow/api/v1"
)

// currentMove returns the move of a service to a version as the command-line tool lists it.
func (c *cli) currentMove(ctx context.Context, service, version string) (*apiv1.Move, error) {
	text, err := c.run(ctx, "--output", "json", "move", "list")
	if err != nil {
		return nil, err
	}
	var list apiv1.ListMovesResponse
	if err := protojson.Unmarshal([]byte(text), &list); err != nil {
		return nil, errors.Wrap(err, "decode the list of moves")
	}
	for _, move := range list.Moves {
		if move.Service == service && move.ToVersion == version {
			return move, nil
		}
	}
	return nil, errors.Errorf("no move of %s to %s is listed", service, version)
}

// awaitMove waits until a move is in the given state.
func (c *cli) awaitMove(ctx context.Context, service, version string, state apiv1.MoveState) (*apiv1.Move, error) {
	var move *apiv1.Move
	err := poll(ctx, "the move of "+service, func(ctx context.Context) error {
		current, err := c.currentMove(ctx, service, version)
		if err != nil {
			return err
		}
		move = current
		if current.State != state {
			return errors.Errorf("the move is %s at %d basis points: %s", current.State, current.ShareBp, current.Reason)
		}
		return nil
	})
	return move, err
}
