package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/admission"
	"samphireflow/internal/calls"
	"samphireflow/internal/gate"
	"samphireflow/internal/hop"
	"samphireflow/internal/routing"
)

// withInnerCalls turns on admission by inner calls and returns a run in flight, whose request ID begins those of the test's
// calls.
func withInnerCalls(f *fixture, controller *admission.Controller) *admission.Run {
	table := f.ingress.options.Table()
	table.CallerLimits.InnerCalls = true
	f.ingress.options.Admission = controller
	run, _ := controller.Admit("id", "history", 3, time.Now())
	return run
}

func newTestController() *admission.Controller {
	return admission.NewController(admission.Options{IDSeparator: "-"})
}

func TestInnerCallsInheritThePriorityOfTheirRun(t *testing.T) {
	var got calls.Call
	f := newFixture(t, func(c *calls.Call, _ string, finishBy time.Time) *calls.Result {
		got = *c
		return answeredResult(200, "")
	})
	f.call("GET", "/lookup/1", "")
	require.False(t, got.Inner, "the configuration does not ask for it")
	controller := newTestController()
	run := withInnerCalls(f, controller)
	f.call("GET", "/lookup/1", "")
	require.True(t, got.Inner)
	require.Equal(t, 3, got.Priority)
	require.False(t, controller.LostInner(run))
	controller.End(run, true, true, time.Now())
	f.call("GET", "/lookup/1", "")
	require.False(t, got.Inner, "the run has ended")
}

// An inner call waits until its deadline rather than being refused, because the run is lost without it.
func TestInnerCallsWaitUntilTheirDeadline(t *testing.T) {
	var finishBy []time.Duration
	f := newFixture(t, func(c *calls.Call, _ string, by time.Time) *calls.Result {
		finishBy = append(finishBy, by.Sub(c.Deadline))
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}
	})
	controller := newTestController()
	run := withInnerCalls(f, controller)
	require.Equal(t, http.StatusServiceUnavailable, f.call("GET", "/lookup/1", "").Code)
	require.Greater(t, len(finishBy), 1)
	require.Zero(t, finishBy[len(finishBy)-1])
	require.True(t, controller.LostInner(run))
}

// Load pattern: the inner service is full. The gate's refusal is the same at all gates, so no other one is asked.
func TestRefusalForAnInnerServiceIsFinal(t *testing.T) {
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result {
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonInnerFull, RetryAfter: 300 * time.Millisecond}
	})
	response := f.call("POST", "/book/1", "")
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
	require.Equal(t, "0.300", response.Header().Get("Retry-After"))
	require.Len(t, f.sent, 1)
}

// Load pattern: a fifth of the runs lose an inner call. Repeated by the node, each would make all its inner calls again.
func TestRunsThatLostAnInnerCallAreNotRepeated(t *testing.T) {
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result {
		result := answeredResult(500, "")
		result.Reason = calls.ReasonInnerFailed
		return result
	})
	require.Equal(t, http.StatusInternalServerError, f.call("GET", "/lookup/1", "").Code)
	require.Len(t, f.sent, 1)
}

// lateGate is the gate of another node that answers after the deadline of each call, or never.
func lateGate(t *testing.T, answer func(w http.ResponseWriter, r *http.Request)) *Ingress {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		metadata, err := calls.ReadHopMetadata(r.Header)
		if err != nil {
			return
		}
		select {
		case <-time.After(metadata.Deadline + time.Millisecond):
		case <-r.Context().Done():
		}
		answer(w, r)
	})
	server := httptest.NewUnstartedServer(hop.Handler(handler, zerolog.Nop()))
	server.Config.ConnContext = hop.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	f := newFixture(t, nil)
	snap := f.ingress.options.Table().Snapshot
	far := &apiv1.BackendServer{
		Instance: "far", Service: "rota", Version: "v1", Slots: 9, Node: "far", FailureDomain: "hobart", State: apiv1.ServerState_SERVER_STATE_READY,
		GateAddr: server.Listener.Addr().String(),
	}
	table := routing.Build(snap, []*apiv1.BackendServer{far}, routing.NewRegistry())
	f.ingress.options.Table = func() *routing.Table { return table }
	return f.ingress
}

// Load pattern: at overload the deadline passes while a call waits at another node's gate. The caller may send a call again
// that must not run twice only if it is told that it has not run; without a word of the gate nobody knows.
func TestWhatIsToldOfCallsWhoseDeadlinePasses(t *testing.T) {
	names := calls.DefaultHeaders()
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request)
		want   int
	}{
		{"it waited in vain", func(w http.ResponseWriter, r *http.Request) {
			gate.WriteResult(w, r.Header.Get(names.RequestID), names, &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull})
		}, http.StatusServiceUnavailable},
		{"it ran", func(w http.ResponseWriter, r *http.Request) {
			gate.WriteResult(w, r.Header.Get(names.RequestID), names, &calls.Result{Outcome: calls.Expired, Reason: calls.ReasonDeadline})
		}, http.StatusGatewayTimeout},
		{"no word came", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, http.StatusGatewayTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			ingress := lateGate(t, c.answer)
			request := httptest.NewRequestWithContext(context.Background(), "POST", "/book/1", nil)
			request.RequestURI, request.Host = "/book/1", "h"
			request.Header.Set(names.RequestID, "id-1")
			request.Header.Set(names.DeadlineMs, "50")
			recorder := httptest.NewRecorder()
			ingress.ServeHTTP(recorder, request)
			require.Equal(t, c.want, recorder.Code)
		})
	}
}

func TestCallPastItsDeadlineIsToldNotToHaveRun(t *testing.T) {
	f := newFixture(t, nil)
	request := httptest.NewRequest("POST", "/book/1", nil)
	request.RequestURI, request.Host = "/book/1", "h"
	request.Header.Set(calls.DefaultHeaders().DeadlineMs, "0")
	recorder := httptest.NewRecorder()
	f.ingress.ServeHTTP(recorder, request)
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.Empty(t, f.sent)
}

// A gate that gives no word until the deadline, as behind a full link, is avoided where the configuration asks for it. One that
// says that the call has waited in vain is not.
func TestGateThatGivesNoWordIsSilent(t *testing.T) {
	ingress := lateGate(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	table := ingress.options.Table()
	for _, asked := range []bool{false, true} {
		table.CallerLimits.InnerCalls = asked
		route := table.MatchHost("h", "/book/1")
		objective := time.Now().Add(route.Settings.Objective)
		c := &calls.Call{Method: "POST", Target: "/book/1", Host: "h", Header: http.Header{}, Objective: objective, Deadline: objective.Add(50 * time.Millisecond)}
		d := &dispatch{ingress: ingress, table: table, route: route, call: c, service: "rota"}
		_, refused := d.run(context.Background())
		require.Equal(t, http.StatusGatewayTimeout, refused.status, "%s", refused.message)
		require.Equal(t, asked, d.last.Reason == calls.ReasonSilent)
	}
}
