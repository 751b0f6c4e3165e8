package cli

import (
	"context"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

func revertCommand(s *session) *command {
	return &command{
		name: "revert", args: "VERSION", synopsis: "make a new version with the branches of an older one",
		minArgs: 1, maxArgs: 1, session: s,
		run: func(ctx context.Context, s *session, args []string) error {
			version, err := parseVersion(args[0])
			if err != nil {
				return err
			}
			return revert(ctx, s, version)
		},
	}
}

func revert(ctx context.Context, s *session, version uint64) error {
	e, err := newEditor(ctx, s)
	if err != nil {
		return err
	}
	request := &apiv1.RevertRequest{
		EditId: newID(), Operator: s.options.Operator, ToVersion: version, BaseVersion: e.current.Version,
	}
	response, err := sendEdit(ctx, e.client, func(ctx context.Context, to *endpoint) (*apiv1.EditResponse, error) {
		return to.config.Revert(ctx, request)
	})
	if err != nil {
		return errors.Wrapf(err, "edit %s", request.EditId)
	}
	return e.reportOutcome(request.EditId, response, false)
}
