package cli

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// fakeControl is a control instance with a tree in memory.
type fakeControl struct {
	apiv1.Config
	apiv1.Moves
	apiv1.Status

	mu      sync.Mutex
	tree    *tree.Tree
	version uint64
	answers map[string]*apiv1.EditResponse
	sends   int
	// loseAnswers is the count of edits whose answer is lost after they took effect.
	loseAnswers int
	// race is applied before the next edit, as an edit of another operator.
	race   *apiv1.EditRequest
	starts []*apiv1.StartMoveRequest
	follow []*apiv1.Move
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startFake serves the fake and returns its address.
func startFake(t *testing.T, fake *fakeControl) string {
	fake.tree = tree.New()
	fake.answers = map[string]*apiv1.EditResponse{}
	mux := http.NewServeMux()
	mux.Handle(apiv1.ConfigPathPrefix, apiv1.NewConfigServer(fake))
	mux.Handle(apiv1.MovesPathPrefix, apiv1.NewMovesServer(fake))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (f *fakeControl) Show(_ context.Context, _ *apiv1.ShowRequest) (*apiv1.ShowResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &apiv1.ShowResponse{Version: f.version, Branches: f.tree.Messages(), Freshness: &apiv1.ReadFreshness{Linearizable: true}}, nil
}

func (f *fakeControl) Edit(_ context.Context, request *apiv1.EditRequest) (*apiv1.EditResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends++
	if f.race != nil {
		f.accept(f.race)
		f.race = nil
	}
	answer, known := f.answers[request.EditId]
	if !known {
		answer = f.accept(request)
		f.answers[request.EditId] = answer
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	return answer, nil
}

func (f *fakeControl) accept(request *apiv1.EditRequest) *apiv1.EditResponse {
	next, conflicts, faults := f.tree.Apply(request, f.version+1)
	if len(conflicts) > 0 {
		return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, Conflicts: conflicts}
	}
	if len(faults) > 0 {
		return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Faults: faults}
	}
	f.tree = next
	f.version++
	return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Version: f.version}
}

func (f *fakeControl) Start(_ context.Context, request *apiv1.StartMoveRequest) (*apiv1.MoveResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, request)
	if len(f.starts) == 1 {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN, Detail: "leadership lost"}, nil
	}
	move := &apiv1.Move{Id: request.MoveId, Service: request.Service, ToVersion: request.ToVersion, State: apiv1.MoveState_MOVE_STATE_RUNNING}
	return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Move: move}, nil
}

func (f *fakeControl) Follow(_ context.Context, request *apiv1.FollowMoveRequest) (*apiv1.MoveResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, move := range f.follow {
		if move.Revision > request.AfterRevision {
			return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Move: move}, nil
		}
	}
	return &apiv1.MoveResponse{}, nil
}

// result is what one run of the tool gave.
type result struct {
	code           int
	stdout, stderr string
}

func runTool(args ...string) result {
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args, &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}
