package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
)

const (
	branchCount = 3
	// maxResends bounds how often an operator sends an edit again after a lost answer.
	maxResends = 4
)

func branchPath(branch int) string { return fmt.Sprint("/sites/s", branch) }

// history collects what operators asked and were told.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
	accepted   map[string]uint64
	// done gets a value for each finished operation.
	done chan struct{}
}

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

func (h *history) add(client int, in request, call int64, out answer) {
	h.mu.Lock()
	operation := porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: h.now()}
	if out.unknown {
		// It may take effect at any later time.
		operation.Return = int64(time.Hour)
	}
	if !out.unknown || !in.read {
		h.operations = append(h.operations, operation)
	}
	if out.outcome == apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
		h.accepted[in.editID] = out.version
	}
	h.mu.Unlock()
	h.done <- struct{}{}
}

// operator edits, resends and reads at random instances.
type operator struct {
	id      int
	group   *group
	history *history
	random  *rand.Rand
	edits   int
	// seen are the versions of the branches that the operator believes in.
	seen [branchCount]uint64
	// past holds the operator's own edits, answered or not.
	past []request
}

func (o *operator) run(operations int) {
	for o.edits = 0; o.edits < operations; o.edits++ {
		switch choice := o.random.IntN(10); {
		case choice < 3:
			o.read()
		case choice == 3 && len(o.past) > 0:
			o.edit(o.past[o.random.IntN(len(o.past))])
		default:
			branch := o.random.IntN(branchCount)
			o.past = append(o.past, request{editID: fmt.Sprintf("e%d-%d", o.id, o.edits), branch: branch, base: o.seen[branch]})
			o.edit(o.past[len(o.past)-1])
		}
	}
}

// edit sends an edit until it has an answer, at most a few times.
func (o *operator) edit(in request) {
	for i := 0; i < maxResends; i++ {
		call := o.history.now()
		out := o.attempt(in)
		if out.outcome == apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED && !out.repeated {
			o.seen[in.branch] = out.version
		}
		if out.outcome == apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT && !out.repeated {
			o.seen[in.branch] = out.current
		}
		o.history.add(o.id, in, call, out)
		if !out.unknown && out.outcome != apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED {
			return
		}
	}
}

func (o *operator) attempt(in request) answer {
	command := &apiv1.Command{Kind: &apiv1.Command_Edit{Edit: &apiv1.EditRequest{
		EditId:   in.editID,
		Operator: fmt.Sprint("o", o.id),
		Branches: []*apiv1.BranchEdit{{
			Path:        branchPath(in.branch),
			BaseVersion: in.base,
			Changes:     []*apiv1.Change{{Key: tree.KeyCallTimeout, Value: "250ms"}},
		}},
	}}}
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	encoded, err := o.propose(data)
	if err == nil {
		return editAnswer(encoded)
	}
	if errors.Is(err, replica.ErrNotLeader) || errors.Is(err, replica.ErrNoQuorum) || errors.Is(err, replica.ErrClosed) || errors.Is(err, replica.ErrStopped) {
		return answer{outcome: apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED}
	}
	return answer{unknown: true}
}

// propose asks a random instance and follows its word on who leads, once.
func (o *operator) propose(data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	running, _ := o.group.instances[o.random.IntN(len(o.group.instances))].running()
	if running == nil {
		return nil, replica.ErrClosed
	}
	result, err := running.Propose(ctx, data)
	leader, known := replica.LeaderOf(err)
	if !known {
		return result, err
	}
	for _, i := range o.group.instances {
		if next, _ := i.running(); next != nil && i.name == leader.ID {
			return next.Propose(ctx, data)
		}
	}
	return nil, err
}

func editAnswer(encoded []byte) answer {
	result := &apiv1.CommandResult{}
	if err := proto.Unmarshal(encoded, result); err != nil {
		panic(err)
	}
	out := answer{outcome: result.Edit.Outcome, version: result.Edit.Version, repeated: result.Edit.RepeatedAnswer}
	for _, conflict := range result.Edit.Conflicts {
		out.current = conflict.CurrentVersion
		out.wonBy = conflict.WonByEdit
	}
	return out
}

func (o *operator) read() {
	running, machine := o.group.instances[o.random.IntN(len(o.group.instances))].running()
	if running == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	call := o.history.now()
	if running.ReadIndex(ctx) != nil {
		o.history.add(o.id, request{read: true}, call, answer{unknown: true})
		return
	}
	out := readView(machine.View())
	o.seen = out.branches
	o.history.add(o.id, request{read: true}, call, out)
}

func readView(view *state.View) answer {
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
