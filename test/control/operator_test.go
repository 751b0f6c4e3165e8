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
	// maxResends bounds the attempts of an operator to get a final answer to an edit.
	maxResends = 4
	// maxFinalResends bounds the attempts to resolve an edit after the faults.
	maxFinalResends = 200
)

func branchPath(branch int) string { return fmt.Sprint("/sites/s", branch) }

// unresolvedEdit is an edit that may have had an effect and got no final answer.
type unresolvedEdit struct {
	client int
	in     request
	call   int64
}

// history records the requests of operators and the answers to them.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
	accepted   map[string]uint64
	unresolved []unresolvedEdit
	// answered receives a value after each attempt.
	answered chan struct{}
}

func newHistory() *history {
	return &history{start: time.Now(), accepted: map[string]uint64{}, answered: make(chan struct{})}
}

func (h *history) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

// add records an operation. Callers leave out operations that were reported to have no effect: if one had an effect all
// the same, no recorded operation explains it and the check fails.
func (h *history) add(client int, in request, call int64, out answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: h.now()})
	if out.outcome == apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
		h.accepted[in.editID] = out.version
	}
}

// addUnresolved records an edit whose result is not known yet.
func (h *history) addUnresolved(client int, in request, call int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unresolved = append(h.unresolved, unresolvedEdit{client, in, call})
}

// resolve resends the unresolved edits after all faults have ended, and adds each with its final answer.
func (h *history) resolve(t *testing.T, s service, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	for _, edit := range h.unresolved {
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

// operator edits, resends edits and reads in random order.
type operator struct {
	id      int
	service service
	history *history
	random  *rand.Rand
	// limiter bounds the rate of its operations.
	limiter *rate.Limiter
	// sequence numbers the operations of a run.
	sequence int
	// knownVersions are the versions of the branches that the operator learned last; its edits are based on them.
	knownVersions [branchCount]uint64
	// ownEdits holds all edits of the operator, answered or not. Some are resent later.
	ownEdits []request
}

func (o *operator) run(operations int) {
	for o.sequence = 0; o.history.count() < operators*operations; o.sequence++ {
		if err := o.limiter.Wait(context.Background()); err != nil {
			panic(err)
		}
		switch choice := o.random.IntN(10); {
		case choice < 3:
			o.read()
		case choice == 3 && len(o.ownEdits) > 0:
			o.edit(o.ownEdits[o.random.IntN(len(o.ownEdits))])
		default:
			branch := o.random.IntN(branchCount)
			o.ownEdits = append(o.ownEdits, request{editID: fmt.Sprintf("e%d-%d", o.id, o.sequence), branch: branch, base: o.knownVersions[branch]})
			o.edit(o.ownEdits[len(o.ownEdits)-1])
		}
	}
}

// edit sends an edit until it gets a final answer, at most maxResends times. The attempts are one operation of the
// history, because an edit takes effect at most once, at some time between the first attempt and the last answer.
func (o *operator) edit(in request) {
	call := o.history.now()
	var out answer
	for i := 0; i < maxResends; i++ {
		out = o.service.edit(o.random, in)
		o.history.answered <- struct{}{}
		in.resent = in.resent || out.unknown
		if out.final() {
			break
		}
	}
	if out.outcome == apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED && !out.repeated {
		o.knownVersions[in.branch] = out.version
	}
	if out.outcome == apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT && !out.repeated {
		o.knownVersions[in.branch] = out.current
	}
	switch {
	case out.final():
		o.history.add(o.id, in, call, out)
	case in.resent:
		o.history.addUnresolved(o.id, in, call)
	}
}

func (o *operator) read() {
	call := o.history.now()
	out := o.service.read(o.random)
	o.history.answered <- struct{}{}
	if out.unknown {
		return
	}
	o.knownVersions = out.branches
	o.history.add(o.id, request{read: true}, call, out)
}

// editRequest returns the same request, byte for byte, whenever an edit is resent.
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

// startOperators starts the operators and closes h.answered when all are done.
func startOperators(h *history, s service, seed uint64, operations int, operationRate rate.Limit) {
	var running sync.WaitGroup
	for id := 0; id < operators; id++ {
		o := &operator{id: id, service: s, history: h, random: rand.New(rand.NewPCG(seed, uint64(10+id))), limiter: rate.NewLimiter(operationRate, 1)}
		running.Go(func() { o.run(operations) })
	}
	go func() {
		running.Wait()
		close(h.answered)
	}()
}
