package control

import (
	"context"
	"math/rand/v2"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

// groupService sends edits and reads to in-process instances.
type groupService struct {
	*group
}

func (s groupService) edit(random *rand.Rand, in request) answer {
	command := &apiv1.Command{Kind: &apiv1.Command_Edit{Edit: editRequest(in)}}
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	encoded, err := s.propose(random, data)
	if err != nil {
		return answerOfError(err)
	}
	result := &apiv1.CommandResult{}
	if err := proto.Unmarshal(encoded, result); err != nil {
		panic(err)
	}
	return answerOf(result.Edit)
}

// propose proposes to a random instance. If that one does not lead but names the leader, it proposes to the leader once.
func (s groupService) propose(random *rand.Rand, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	running, _ := s.instances[random.IntN(len(s.instances))].running()
	if running == nil {
		return nil, replica.ErrClosed
	}
	result, err := running.Propose(ctx, data)
	leader, known := replica.LeaderOf(err)
	if !known {
		return result, err
	}
	for _, i := range s.instances {
		if next, _ := i.running(); next != nil && i.name == leader.ID {
			return next.Propose(ctx, data)
		}
	}
	return nil, err
}

// answerOfError returns not-accepted for the errors that rule out an effect, and unknown for all others.
func answerOfError(err error) answer {
	for _, notAccepted := range []error{replica.ErrNotLeader, replica.ErrNoQuorum, replica.ErrClosed, replica.ErrStopped} {
		if errors.Is(err, notAccepted) {
			return answer{outcome: apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED}
		}
	}
	return answer{unknown: true}
}

func (s groupService) read(random *rand.Rand) answer {
	running, machine := s.instances[random.IntN(len(s.instances))].running()
	if running == nil {
		return answer{unknown: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	if running.ReadIndex(ctx) != nil {
		return answer{unknown: true}
	}
	return answerOfView(machine.View())
}

func answerOfView(view *state.View) answer {
	out := answer{version: view.Version}
	for i := range out.branches {
		path, err := tree.ParsePath(branchPath(i))
		if err != nil {
			panic(err)
		}
		if branch := view.Tree.Branch(path); branch != nil {
			out.branches[i] = branch.Version
		}
	}
	return out
}
