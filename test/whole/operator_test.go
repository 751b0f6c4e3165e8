package whole

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/deployment"
)

const (
	// editTimeout is the time after which an operator resends an edit.
	editTimeout = 2 * time.Second
	// editPause is the pause of an operator after each edit.
	editPause = 10 * time.Millisecond
	// All operators edit contendedKey of contendedBranch.
	contendedBranch = "/sites/hobart"
	contendedKey    = "note"
)

// branchInput is the input of one operation on the contended branch.
type branchInput struct {
	read  bool
	base  uint64
	value string
}

// branchOutput is the result of an operation as the operator received it.
type branchOutput struct {
	accepted bool
	version  uint64
	value    string
}

// branchState is the state of the contended branch in the model.
type branchState struct {
	version uint64
	value   string
}

// branchModel is the sequential model of compare-and-set edits and linearizable reads of one branch.
var branchModel = porcupine.Model{
	Init: func() any { return branchState{} },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(branchState), input.(branchInput), output.(branchOutput)
		switch {
		case in.read:
			return out.version == current.version && out.value == current.value, current
		case out.accepted:
			return in.base == current.version && out.version > current.version, branchState{out.version, in.value}
		}
		return in.base != current.version && out.version == current.version, current
	},
	Equal: func(a, b any) bool { return a.(branchState) == b.(branchState) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// operator reads and edits the contended branch, and resends each request until it gets a definite answer.
type operator struct {
	id      int
	clients []apiv1.Config
	random  *rand.Rand
	history *history
}

// history records all operations for the linearizability check by porcupine.
type history struct {
	started time.Time
	mu      sync.Mutex
	list    []porcupine.Operation
}

func (h *history) add(operation porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, operation)
}

func newOperator(id int, d *deployment.Deployment, seed uint64, h *history) *operator {
	o := &operator{id: id, random: rand.New(rand.NewPCG(seed, uint64(id)+100)), history: h}
	for _, process := range d.Processes() {
		if process.Role == deployment.RoleControl {
			o.clients = append(o.clients, apiv1.NewConfigProtobufClient("http://"+process.ControlAddr, &http.Client{Timeout: editTimeout}))
		}
	}
	return o
}

// run reads and edits until stop is closed. If ctx ends first, run returns its error and does not record the operation
// in progress.
func (o *operator) run(ctx context.Context, stop <-chan struct{}) error {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return nil
		default:
		}
		seen, err := o.read(ctx)
		if err != nil {
			return err
		}
		if err := o.edit(ctx, seen, number); err != nil {
			return err
		}
		sleep(ctx, editPause)
	}
}

func (o *operator) client() apiv1.Config {
	return o.clients[o.random.IntN(len(o.clients))]
}

func (o *operator) read(ctx context.Context) (branchOutput, error) {
	for ctx.Err() == nil {
		called := time.Since(o.history.started).Nanoseconds()
		response, err := o.client().Show(ctx, &apiv1.ShowRequest{Path: contendedBranch})
		if err != nil {
			continue
		}
		out := branchOutput{}
		for _, branch := range response.Branches {
			out = outputOf(branch.Version, branch.Settings)
		}
		o.history.add(porcupine.Operation{ClientId: o.id, Input: branchInput{read: true}, Call: called, Output: out, Return: time.Since(o.history.started).Nanoseconds()})
		return out, nil
	}
	return branchOutput{}, ctx.Err()
}

func outputOf(version uint64, settings []*apiv1.Setting) branchOutput {
	out := branchOutput{version: version}
	for _, setting := range settings {
		if setting.Key == contendedKey {
			out.value = setting.Value
		}
	}
	return out
}

func (o *operator) edit(ctx context.Context, seen branchOutput, number int) error {
	id := fmt.Sprintf("operator-%d-edit-%d", o.id, number)
	input := branchInput{base: seen.version, value: id}
	request := &apiv1.EditRequest{EditId: id, Operator: fmt.Sprintf("operator-%d", o.id), Branches: []*apiv1.BranchEdit{{
		Path:        contendedBranch,
		BaseVersion: seen.version,
		Changes:     []*apiv1.Change{{Key: contendedKey, Value: id}},
	}}}
	called := time.Since(o.history.started).Nanoseconds()
	for ctx.Err() == nil {
		response, err := o.client().Edit(ctx, request)
		out, definite := editOutput(response, err)
		if !definite {
			continue
		}
		o.history.add(porcupine.Operation{ClientId: o.id, Input: input, Call: called, Output: out, Return: time.Since(o.history.started).Nanoseconds()})
		return nil
	}
	return ctx.Err()
}

// editOutput returns the output of an edit and whether it is definite. After an indefinite answer the edit is resent with
// the same ID.
func editOutput(response *apiv1.EditResponse, err error) (branchOutput, bool) {
	if err != nil {
		return branchOutput{}, false
	}
	switch response.Outcome {
	case apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED:
		return branchOutput{accepted: true, version: response.Version}, true
	case apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT:
		return branchOutput{version: response.Conflicts[0].CurrentVersion}, true
	}
	return branchOutput{}, false
}
