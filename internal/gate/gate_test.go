package gate

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/outcome"
)

// newTestGate returns a gate for a backend server at the given address, and the announcement of that server. The test
// controls the clock.
func newTestGate(addr string, clock *time.Time) (*Gate, *apiv1.BackendServer) {
	info := &apiv1.BackendServer{Instance: "a", Service: "rota", Version: "v1", Addr: addr, Slots: 2, State: apiv1.ServerState_SERVER_STATE_READY}
	return New(Options{
		LocalServer: func() *apiv1.BackendServer { return info },
		Headers:     calls.DefaultHeaders(),
		Recorder:    outcome.NewAggregator("hobart"),
		Logger:      zerolog.Nop(),
		Now:         func() time.Time { return *clock },
	}), info
}

func newTestCall(now time.Time) *calls.Call {
	return &calls.Call{
		ID: "1", Route: "lookup", Method: "GET", Target: "/", Host: "h", Header: http.Header{calls.DefaultHeaders().RequestID: {"1"}},
		Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute),
	}
}

func TestGateRefusesWrongOrDrainingServer(t *testing.T) {
	clock := time.Now()
	g, info := newTestGate("127.0.0.1:1", &clock)
	other := g.Pass(context.Background(), newTestCall(clock), "b", clock.Add(time.Second))
	require.Equal(t, calls.NotRun, other.Outcome)
	require.Equal(t, calls.ReasonMisdirected, other.Reason)
	info.State = apiv1.ServerState_SERVER_STATE_DRAINING
	draining := g.Pass(context.Background(), newTestCall(clock), "a", clock.Add(time.Second))
	require.Equal(t, calls.NotRun, draining.Outcome)
	require.Equal(t, calls.ReasonDraining, draining.Reason)
}

// Load pattern: the backend server is unreachable. One trial call at a time attempts a connection; the others are refused
// at once, so that they can try another backend server. The first response admits all calls again.
func TestUnreachableServerGetsOneTrialCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	clock := time.Now()
	g, _ := newTestGate(addr, &clock)
	pass := func() *calls.Result {
		return g.Pass(context.Background(), newTestCall(clock), "a", clock.Add(time.Second))
	}
	require.Contains(t, pass().Detail, "refused")
	require.Contains(t, pass().Detail, "a moment ago")
	clock = clock.Add(breakerOpenTime)
	require.Nil(t, g.checkBreaker(), "one trial call is let through")
	require.Contains(t, pass().Detail, "a moment ago")

	listener, err = net.Listen("tcp", addr)
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(calls.DefaultHeaders().RequestID, r.Header.Get(calls.DefaultHeaders().RequestID))
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	clock = clock.Add(breakerTrialTime)
	require.Equal(t, calls.Answered, pass().Outcome)
	require.Equal(t, calls.Answered, pass().Outcome)
}

// TestRefusalWithAnEndlessBodyClosesItsConnection lets the backend server refuse a call with a body that does not end. The
// gate has no use for the body and must not keep the connection open until the deadline of the call.
func TestRefusalWithAnEndlessBodyClosesItsConnection(t *testing.T) {
	for name, head := range map[string]string{
		"shed":        "HTTP/1.1 503 Full\r\n" + calls.DefaultHeaders().NotRun + ": 1\r\n",
		"misdirected": "HTTP/1.1 421 Misdirected Request\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err = conn.Write([]byte(head + calls.DefaultHeaders().RequestID + ": 1\r\n\r\n"))
				for err == nil {
					_, err = conn.Write(make([]byte, 16<<10))
				}
			}()
			clock := time.Now()
			g, _ := newTestGate(listener.Addr().String(), &clock)
			result := g.Pass(context.Background(), newTestCall(clock), "a", clock.Add(time.Second))
			require.Equal(t, calls.NotRun, result.Outcome)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				require.Fail(t, "the connection stays open")
			}
		})
	}
}

// TestStoppingGateRefusesCallsThatEndAfterIt covers the calls of nodes that have not learned yet that this one stops.
func TestStoppingGateRefusesCallsThatEndAfterIt(t *testing.T) {
	clock := time.Now()
	g, _ := newTestGate("127.0.0.1:1", &clock)
	g.options.Stop = &calls.StopAdmission{}
	g.options.Stop.Begin(clock, clock.Add(5*time.Second))
	pass := func(deadline time.Duration) string {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		calls.HopMetadata{Server: "a", Route: "lookup", Objective: deadline, Deadline: deadline, FinishBy: deadline}.Write(request.Header)
		recorder := httptest.NewRecorder()
		g.ServeHTTP(recorder, request)
		return recorder.Header().Get(calls.HopResultHeader)
	}
	late := pass(6 * time.Second)
	require.Contains(t, late, string(calls.NotRun))
	require.Contains(t, late, string(calls.ReasonDraining), "another backend server is tried")
	require.Contains(t, pass(4*time.Second), string(calls.ReasonUnreachable), "what ends in time is passed on")
}

// A call whose deadline has passed before it is sent has not run. Its caller may send it again even if it must not run twice.
func TestCallThatWasNotSentBeforeItsDeadlineHasNotRun(t *testing.T) {
	clock := time.Now()
	g, _ := newTestGate("127.0.0.1:1", &clock)
	ctx, cancel := context.WithDeadline(context.Background(), clock.Add(-time.Second))
	defer cancel()
	result := g.Pass(ctx, newTestCall(clock), "a", clock.Add(time.Second))
	require.Equal(t, calls.NotRun, result.Outcome)
	require.Equal(t, calls.ReasonDeadline, result.Reason)
}
