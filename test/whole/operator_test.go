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
	// editPause is the pause of an operator between two edits.
	editPause = 10 * time.Millisecond
	// racedBranch is the branch that all operators edit, racedKey its key.
	racedBranch = "/sites/hobart"
	racedKey    = "note"
)

// branchInput is one operation on the raced branch.
type branchInput struct {
	read  bool
	base  uint64
	value string
}

// branchOutput is what the operator was told.
type branchOutput struct {
	accepted bool
	version  uint64
	value    string
}

// branchState is the raced branch in the model.
type branchState struct {
	version uint64
	value   string
}

// branchModel is the sequential model of compare-and-set edits and linearizable reads of one branch.
var branchModel = porcupine.Model{
	Init: func() any { return branchState{} },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(branchState), input.(branchInput), output.(branchOutput)
		switch {
		case in.read:
			return out.version == now.version && out.value == now.value, now
		case out.accepted:
			return in.base == now.version && out.version > now.version, branchState{out.version, in.value}
		}
		return in.base != now.version && out.version == now.version, now
	},
	Equal: func(a, b any) bool { return a.(branchState) == b.(branchState) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// operator edits and reads the raced branch and resends until it gets a definite answer.
type operator struct {
	id      int
	clients []apiv1.Config
	random  *rand.Rand
	history *history
}

// history is the record of all operations for porcupine.
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

// run works until stop is closed; ctx ends the last operation, which then is not definite.
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
		response, err := o.client().Show(ctx, &apiv1.ShowRequest{Path: racedBranch})
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
		if setting.Key == racedKey {
			out.value = setting.Value
		}
	}
	return out
}

func (o *operator) edit(ctx context.Context, seen branchOutput, number int) error {
	id := fmt.Sprintf("operator-%d-edit-%d", o.id, number)
	input := branchInput{base: seen.version, value: id}
	request := &apiv1.EditRequest{EditId: id, Operator: fmt.Sprintf("operator-%d", o.id), Branches: []*apiv1.BranchEdit{{
		Path:        racedBranch,
		BaseVersion: seen.version,
		Changes:     []*apiv1.Change{{Key: racedKey, Value: id}},
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

// editOutput tells a definite answer from one after which the edit is sent again with the same ID.
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
