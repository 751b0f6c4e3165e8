package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

const (
	branchCount = 3
	// maxResends bounds how often an operator sends an edit again after a lost answer.
	maxResends = 4
	// maxFinalResends bounds how often an open edit is sent again after the faults.
	maxFinalResends = 200
)

func branchPath(branch int) string { return fmt.Sprint("/sites/s", branch) }

// openEdit is an edit that was sent and not answered.
type openEdit struct {
	client int
	in     request
	call   int64
}

// history collects what operators asked and were told.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
	accepted   map[string]uint64
	open       []openEdit
	// done gets a value for each answer.
	done chan struct{}
}

func newHistory() *history {
	return &history{start: time.Now(), accepted: map[string]uint64{}, done: make(chan struct{})}
}

func (h *history) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

// add takes an operation. Operations without any effect are left out by the caller: if one had an effect after all,
// no operation of the history would explain it.
func (h *history) add(client int, in request, call int64, out answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: h.now()})
	if out.outcome == apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
		h.accepted[in.editID] = out.version
	}
}

// leaveOpen notes an edit whose fate no answer has told yet.
func (h *history) leaveOpen(client int, in request, call int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open = append(h.open, openEdit{client, in, call})
}

// resolve sends the open edits again once all faults are over: each gets an answer then.
func (h *history) resolve(t *testing.T, s service, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	for _, edit := range h.open {
		var out answer
		for i := 0; i < maxFinalResends && !out.final(); i++ {
			out = s.edit(random, edit.in)
		}
		require.True(t, out.final(), "%+v has no answer", edit.in)
		h.add(edit.client, edit.in, edit.call, out)
	}
}

// service is the control group as an operator sees it.
type service interface {
	// edit sends an edit to a random instance, once.
	edit(random *rand.Rand, in request) answer
	// read makes a linearizable read at a random instance.
	read(random *rand.Rand) answer
}

// operator edits, resends and reads.
type operator struct {
	id      int
	service service
	history *history
	random  *rand.Rand
	// pace bounds the rate of its operations.
	pace  *rate.Limiter
	edits int
	// seen are the versions of the branches that the operator believes in.
	seen [branchCount]uint64
	// past holds the operator's own edits, answered or not.
	past []request
}

func (o *operator) run(operations int) {
	for o.edits = 0; o.history.count() < operators*operations; o.edits++ {
		if err := o.pace.Wait(context.Background()); err != nil {
			panic(err)
		}
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

// edit sends an edit until it has an answer, at most a few times. The attempts are one operation of the history: an
// edit has its effect at most once, at some time between the first call and the last answer.
func (o *operator) edit(in request) {
	call := o.history.now()
	var out answer
	for i := 0; i < maxResends; i++ {
		out = o.service.edit(o.random, in)
		o.history.done <- struct{}{}
		in.resent = in.resent || out.unknown
		if out.final() {
			break
		}
	}
	if out.outcome == apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED && !out.repeated {
		o.seen[in.branch] = out.version
	}
	if out.outcome == apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT && !out.repeated {
		o.seen[in.branch] = out.current
	}
	switch {
	case out.final():
		o.history.add(o.id, in, call, out)
	case in.resent:
		o.history.leaveOpen(o.id, in, call)
	}
}

func (o *operator) read() {
	call := o.history.now()
	out := o.service.read(o.random)
	o.history.done <- struct{}{}
	if out.unknown {
		return
	}
	o.seen = out.branches
	o.history.add(o.id, request{read: true}, call, out)
}

// editRequest makes the same request for the same edit ID, byte for byte.
func editRequest(in request) *apiv1.EditRequest {
	return &apiv1.EditRequest{
		EditId:   in.editID,
		Operator: "operator",
		Branches: []*apiv1.BranchEdit{{
			Path:        branchPath(in.branch),
			BaseVersion: in.base,
			Changes:     []*apiv1.Change{{Key: tree.KeyCallTimeout, Value: "250ms"}},
		}},
	}
}

func answerOf(response *apiv1.EditResponse) answer {
	out := answer{outcome: response.Outcome, version: response.Version, repeated: response.RepeatedAnswer}
	for _, conflict := range response.Conflicts {
		out.current = conflict.CurrentVersion
		out.wonBy = conflict.WonByEdit
	}
	return out
}

// startOperators runs operators and closes the history when all are done.
func startOperators(h *history, s service, seed uint64, operations int, pace rate.Limit) {
	var running sync.WaitGroup
	for id := 0; id < operators; id++ {
		o := &operator{id: id, service: s, history: h, random: rand.New(rand.NewPCG(seed, uint64(10+id))), pace: rate.NewLimiter(pace, 1)}
		running.Go(func() { o.run(operations) })
	}
	go func() {
		running.Wait()
		close(h.done)
	}()
}
