package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
	"samphireflow/internal/link"
)

// stalledWriter is the response of a node that reads nothing until it is told to.
type stalledWriter struct {
	*httptest.ResponseRecorder
	started, proceed chan struct{}
}

func (w *stalledWriter) Write(data []byte) (int, error) {
	if w.started != nil {
		close(w.started)
		w.started = nil
		<-w.proceed
	}
	return w.ResponseRecorder.Write(data)
}

// newLongGate returns a gate for a backend server with one slot whose responses have the given length.
func newLongGate(t *testing.T, length int, now func() time.Time) *Gate {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(calls.DefaultHeaders().RequestID, r.Header.Get(calls.DefaultHeaders().RequestID))
		http.ServeContent(w, r, "", time.Time{}, strings.NewReader(strings.Repeat("x", length)))
	}))
	t.Cleanup(backend.Close)
	clock := time.Now()
	g, info := newTestGate(backend.Listener.Addr().String(), &clock)
	info.Slots = 1
	g.options.Now = now
	g.options.Link = link.New(100, now)
	return g
}

// forward sends a call with a long response to the gate as another node does.
func forward(g *Gate, w http.ResponseWriter, finishBy time.Duration) {
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set(calls.DefaultHeaders().RequestID, "1")
	calls.HopMetadata{
		Server: "a", Route: "export", Idempotent: true, LongResponse: true,
		Objective: time.Minute, Deadline: time.Minute, FinishBy: finishBy,
	}.Write(request.Header)
	g.ServeHTTP(w, request)
}

// TestSlotIsFreeWhileALongResponseIsSent covers a slow link: the response of 540 kB was read from the backend server, whose
// only slot takes the next call before another node has read the first response.
func TestSlotIsFreeWhileALongResponseIsSent(t *testing.T) {
	g := newLongGate(t, 540_000, time.Now)
	slow := &stalledWriter{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
	started, ended := slow.started, make(chan struct{})
	go func() {
		defer close(ended)
		forward(g, slow, time.Minute)
	}()
	<-started
	require.Positive(t, g.Load().LinkWait, "nodes hear of the bytes that are promised")
	next := g.Pass(context.Background(), newTestCall(time.Now()), "a", time.Now())
	require.Equal(t, calls.Answered, next.Outcome)
	next.Response.Rest.Close()
	close(slow.proceed)
	<-ended
	require.Equal(t, 540_000, slow.Body.Len())
	require.Zero(t, g.Load().LinkWait)
}

// TestBodiesBeyondTheAccountKeepTheirSlots covers a response that is too long to be held: its backend server waits for the link.
func TestBodiesBeyondTheAccountKeepTheirSlots(t *testing.T) {
	g := newLongGate(t, 2<<20, time.Now)
	slow := &stalledWriter{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
	started, ended := slow.started, make(chan struct{})
	go func() {
		defer close(ended)
		forward(g, slow, time.Minute)
	}()
	<-started
	require.Equal(t, 1, g.Load().Running)
	close(slow.proceed)
	<-ended
	require.Equal(t, 2<<20, slow.Body.Len())
	require.Zero(t, g.Load().Running)
}

// TestCallIsRefusedForItsLink lets responses of 540 kB be promised for more than the link carries in the time that the next
// call has: it is refused before it runs, although slots are free.
func TestCallIsRefusedForItsLink(t *testing.T) {
	clock := time.Now()
	g := newLongGate(t, 540_000, func() time.Time { return clock })
	known, _ := g.options.Link.Promise("export", 0, clock.Add(time.Second))
	known.Answered(540_000, 0)
	for range 10 {
		_, late := g.options.Link.Promise("export", 0, clock.Add(time.Minute))
		require.Zero(t, late)
	}
	recorder := httptest.NewRecorder()
	forward(g, recorder, 500*time.Millisecond)
	result, err := calls.ParseResult(recorder.Header().Get(calls.HopResultHeader))
	require.NoError(t, err)
	require.Equal(t, calls.ReasonLink, result.Reason)
	require.InDelta(t, 528*time.Millisecond, result.Load.LinkWait, float64(2*time.Millisecond))
	require.Positive(t, result.RetryAfter)
}
