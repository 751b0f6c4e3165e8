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

// fakeControl is a control instance that keeps the tree of settings in memory.
type fakeControl struct {
	apiv1.Config
	apiv1.Moves
	apiv1.Status

	mu        sync.Mutex
	tree      *tree.Tree
	version   uint64
	responses map[string]*apiv1.EditResponse
	editCalls int
	// loseResponses is the number of calls to Edit that take effect and whose response is then lost.
	loseResponses int
	// concurrentEdit is the edit of another operator, which is applied just before the next edit.
	concurrentEdit *apiv1.EditRequest
	// startRequests are the requests that Start has received. The outcome of the first one is reported as unknown.
	startRequests []*apiv1.StartMoveRequest
	// followMoves are the revisions of the move that Follow returns, oldest first.
	followMoves []*apiv1.Move
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startFake starts a server for the fake and returns its address.
func startFake(t *testing.T, fake *fakeControl) string {
	fake.tree = tree.New()
	fake.responses = map[string]*apiv1.EditResponse{}
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
	f.editCalls++
	if f.concurrentEdit != nil {
		f.apply(f.concurrentEdit)
		f.concurrentEdit = nil
	}
	response, known := f.responses[request.EditId]
	if !known {
		response = f.apply(request)
		f.responses[request.EditId] = response
	}
	if f.loseResponses > 0 {
		f.loseResponses--
		panic(http.ErrAbortHandler)
	}
	return response, nil
}

func (f *fakeControl) apply(request *apiv1.EditRequest) *apiv1.EditResponse {
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
	f.startRequests = append(f.startRequests, request)
	if len(f.startRequests) == 1 {
		return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN, Detail: "leadership lost"}, nil
	}
	move := &apiv1.Move{Id: request.MoveId, Service: request.Service, ToVersion: request.ToVersion, State: apiv1.MoveState_MOVE_STATE_RUNNING}
	return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Move: move}, nil
}

func (f *fakeControl) Follow(_ context.Context, request *apiv1.FollowMoveRequest) (*apiv1.MoveResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, move := range f.followMoves {
		if move.Revision > request.AfterRevision {
			return &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Move: move}, nil
		}
	}
	return &apiv1.MoveResponse{}, nil
}

// result is the result of one run of the tool.
type result struct {
	code           int
	stdout, stderr string
}

func runTool(args ...string) result {
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args, &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}
