package control

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
)

// propose runs a command through the log and returns its answer. Errors are those of the replica.
func (s *Server) propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error) {
	command.ProposedUnixMs = s.now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	encoded, err := s.options.Log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result := &apiv1.CommandResult{}
	if err := proto.Unmarshal(encoded, result); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	return result, nil
}

// failedOutcome says what an error of propose or of a forwarded request means for the request's fate.
func failedOutcome(err error) apiv1.EditOutcome {
	for _, certain := range []error{replica.ErrNotLeader, replica.ErrNoQuorum, errNoLeader} {
		if errors.Is(err, certain) {
			return apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED
		}
	}
	return apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN
}
