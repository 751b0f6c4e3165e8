package control

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
)

// propose proposes a command to the log and returns its result once it is applied. Errors of the replica are returned
// unchanged.
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

// outcomeOfError returns the outcome of a request whose proposal or forwarding failed. It is unknown unless the error
// rules out that the command takes effect.
func outcomeOfError(err error) apiv1.EditOutcome {
	for _, notAccepted := range []error{replica.ErrNotLeader, replica.ErrNoQuorum, errNoLeader} {
		if errors.Is(err, notAccepted) {
			return apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED
		}
	}
	return apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN
}
