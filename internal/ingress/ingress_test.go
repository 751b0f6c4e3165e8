package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
	"samphireflow/internal/routing"
	"samphireflow/internal/tree"
)

// gateFunc stands for the gates of all backend servers.
type gateFunc func(c *calls.Call, instance string, patience time.Time) *calls.Result

func (f gateFunc) Pass(_ context.Context, c *calls.Call, instance string, patience time.Time) *calls.Result {
	return f(c, instance, patience)
}

// rig is an ingress with three backend servers of one service and two routes, one of which may be repeated.
type rig struct {
	ingress *Ingress
	sent    []string
}

func newRig(t *testing.T, pass gateFunc) *rig {
	r := &rig{}
	routeOf := func(name, prefix string, idempotent bool) *apiv1.RouteConfig {
		return &apiv1.RouteConfig{Name: name, Service: "rota", Idempotent: idempotent, Settings: []*apiv1.Setting{
			{Key: tree.KeyRouteHost, Value: "h"}, {Key: tree.KeyRoutePrefix, Value: prefix}, {Key: tree.KeyCallTimeout, Value: "1s"},
			{Key: tree.KeyRouteObjective, Value: "300ms"}, {Key: tree.KeyRouteAttempts, Value: "2"}, {Key: tree.KeyRoutePriority, Value: "1"},
		}}
	}
	snap := &apiv1.Snapshot{
		Version: 1, FailureDomain: "hobart",
		Services: []*apiv1.ServiceConfig{{Name: "rota", Shares: []*apiv1.VersionShare{{Version: "v1", ShareBp: 10000}}}},
		Routes:   []*apiv1.RouteConfig{routeOf("lookup", "/lookup/", true), routeOf("book", "/book/", false)},
		Settings: []*apiv1.Setting{{Key: tree.KeyCallerBodyBytes, Value: "100"}, {Key: tree.KeyCallerHeaderBytes, Value: "2000"}},
	}
	var servers []*apiv1.BackendServer
	for _, name := range []string{"a", "b", "c"} {
		servers = append(servers, &apiv1.BackendServer{
			Instance: name, Service: "rota", Version: "v1", Slots: 9, Node: "self", FailureDomain: "hobart", State: apiv1.ServerState_SERVER_STATE_READY,
		})
	}
	table := routing.Build(snap, servers, routing.NewRegistry())
	r.ingress = New(Options{
		Instance: "self", FailureDomain: "hobart", Service: "desk",
		Table: func() *routing.Table { return table },
		Gate: gateFunc(func(c *calls.Call, instance string, patience time.Time) *calls.Result {
			r.sent = append(r.sent, instance)
			return pass(c, instance, patience)
		}),
		Headers: calls.DefaultHeaders(), Logger: zerolog.Nop(), Now: time.Now, Random: func() float64 { return 0.5 },
	})
	return r
}

func (r *rig) call(method, target string, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	request.RequestURI, request.Host = target, "h"
	request.Header.Set(calls.DefaultHeaders().RequestID, "id-1")
	recorder := httptest.NewRecorder()
	r.ingress.ServeHTTP(recorder, request)
	return recorder
}

func answered(status int, body string) *calls.Result {
	return &calls.Result{Outcome: calls.Answered, Response: &exchange.Response{Status: status, Header: http.Header{"Stamp": {"s"}}, Body: []byte(body), Length: int64(len(body))}}
}

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	var got *calls.Call
	r := newRig(t, func(c *calls.Call, _ string, _ time.Time) *calls.Result {
		got = c
		return answered(http.StatusTeapot, "body")
	})
	answer := r.call("POST", "/book/1?x=%2f", "data")
	require.Equal(t, http.StatusTeapot, answer.Code)
	require.Equal(t, "body", answer.Body.String())
	require.Equal(t, "s", answer.Header().Get("Stamp"))
	require.Equal(t, "/book/1?x=%2f", got.Target)
	require.Equal(t, "data", string(got.Body))
	require.Equal(t, "desk", got.Header.Get(calls.DefaultHeaders().Caller))
	require.False(t, got.Idempotent)
}

// TestWhatIsSentAgain lists what the first backend server makes of a call and how many get it in all.
func TestWhatIsSentAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		target string
		first  *calls.Result
		sent   int
		status int
	}{
		{"an unknown fate of an idempotent call", "/lookup/", &calls.Result{Outcome: calls.Unknown}, 2, 200},
		{"an unknown fate of any other", "/book/", &calls.Result{Outcome: calls.Unknown}, 1, 502},
		{"a failure of an idempotent call", "/lookup/", answered(500, ""), 2, 200},
		{"a failure of any other", "/book/", answered(500, ""), 1, 500},
		{"a refusal of any call", "/book/", &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonDraining}, 2, 200},
		{"a refusal for want of room", "/book/", &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}, 2, 200},
		{"a call that expired", "/lookup/", &calls.Result{Outcome: calls.Expired}, 1, 504},
		{"an answer that blames the caller", "/lookup/", answered(404, ""), 1, 404},
	} {
		count := 0
		r := newRig(t, func(*calls.Call, string, time.Time) *calls.Result {
			if count++; count == 1 {
				return c.first
			}
			return answered(200, "")
		})
		answer := r.call("GET", c.target, "")
		require.Equal(t, c.status, answer.Code, c.name)
		require.Len(t, r.sent, c.sent, c.name)
	}
}

// TestRefusalIsTrue loses the answer of one backend server and finds no room at the others: the call may have run, and the
// caller is not told that it has not.
func TestRefusalIsTrue(t *testing.T) {
	count := 0
	r := newRig(t, func(*calls.Call, string, time.Time) *calls.Result {
		if count++; count == 1 {
			return &calls.Result{Outcome: calls.Unknown}
		}
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}
	})
	require.Equal(t, http.StatusBadGateway, r.call("GET", "/lookup/", "").Code)
	require.Greater(t, count, 1)
}

// TestAttemptsAreBounded: every backend server loses its answer; no more than the route's attempts run the call.
func TestAttemptsAreBounded(t *testing.T) {
	r := newRig(t, func(*calls.Call, string, time.Time) *calls.Result { return &calls.Result{Outcome: calls.Unknown} })
	require.Equal(t, http.StatusBadGateway, r.call("GET", "/lookup/", "").Code)
	require.Len(t, r.sent, 2)
}

// Load pattern: all backend servers fail every call. The repeats stay within the node's share, whatever the number of
// calls.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	r := newRig(t, func(*calls.Call, string, time.Time) *calls.Result { return answered(500, "") })
	const count = 300
	for range count {
		r.call("GET", "/lookup/", "")
	}
	require.LessOrEqual(t, float64(len(r.sent)-count), repeatShare*count+repeatBurst)
	require.Greater(t, len(r.sent), count)
}

// Load pattern: every gate is full. The call is offered to some for an answer in time, then to some for a late one, and
// refused at once with the time after which there is room.
func TestFullEverywhereIsRefusedAtOnce(t *testing.T) {
	// beyond holds the patience of each question beyond the call's objective.
	var beyond []time.Duration
	r := newRig(t, func(c *calls.Call, _ string, patience time.Time) *calls.Result {
		beyond = append(beyond, patience.Sub(c.Objective))
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull, RetryAfter: 120 * time.Millisecond}
	})
	began := time.Now()
	answer := r.call("POST", "/book/", "data")
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
	require.Equal(t, "0.120", answer.Header().Get("Retry-After"))
	require.Less(t, time.Since(began), 100*time.Millisecond)
	require.LessOrEqual(t, len(beyond), 1+refusalsLate)
	require.Negative(t, beyond[0])
	require.Positive(t, beyond[len(beyond)-1])
}

// Load pattern: overload that lasts. Only the first call asks for an answer in time, until pressedTime has passed; the
// others ask for a later one at once, and are refused after fewer questions.
func TestPressedServiceIsAskedForLateAnswers(t *testing.T) {
	var beyond []time.Duration
	now := time.Now()
	r := newRig(t, func(c *calls.Call, _ string, patience time.Time) *calls.Result {
		beyond = append(beyond, patience.Sub(c.Objective))
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull, RetryAfter: 120 * time.Millisecond}
	})
	r.ingress.options.Now = func() time.Time { return now }
	r.call("GET", "/lookup/", "")
	require.Negative(t, beyond[0])
	require.Len(t, beyond, 1+refusalsLate)

	beyond = nil
	r.call("GET", "/lookup/", "")
	require.GreaterOrEqual(t, beyond[0], time.Duration(0))
	require.Len(t, beyond, refusalsLate)

	beyond, now = nil, now.Add(pressedTime)
	r.call("GET", "/lookup/", "")
	require.Negative(t, beyond[0], "it is asked again whether there is room")
}

// Load pattern: overload that lasts. A call that waits for a late answer does so for its objective at most, however far its
// deadline is: what queues at the gates is what every other call waits for.
func TestLateCallsDoNotQueueForLong(t *testing.T) {
	var longest time.Duration
	now := time.Now()
	r := newRig(t, func(_ *calls.Call, _ string, patience time.Time) *calls.Result {
		longest = max(longest, patience.Sub(now))
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull, RetryAfter: 120 * time.Millisecond}
	})
	r.ingress.options.Now = func() time.Time { return now }
	r.call("GET", "/lookup/", "")
	require.LessOrEqual(t, longest, 300*time.Millisecond)
}

// Load pattern: a service has few backend servers left, and those that cannot be reached stay so. Each is tried once, and
// the only one with a full queue is asked for a late answer too.
func TestFewServersAreAskedOnceEach(t *testing.T) {
	r := newRig(t, func(_ *calls.Call, instance string, _ time.Time) *calls.Result {
		if instance == "a" {
			return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}
		}
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonUnreachable}
	})
	require.Equal(t, http.StatusServiceUnavailable, r.call("GET", "/lookup/", "").Code)
	counts := map[string]int{}
	for _, instance := range r.sent {
		counts[instance]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 1, "c": 1}, counts)
}

func TestRefusalsOfTheNodeItself(t *testing.T) {
	r := newRig(t, func(*calls.Call, string, time.Time) *calls.Result { return answered(200, "") })
	require.Equal(t, http.StatusNotFound, r.call("GET", "/other/", "").Code)
	require.Equal(t, http.StatusRequestEntityTooLarge, r.call("POST", "/book/", strings.Repeat("x", 101)).Code)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, r.call("GET", "/lookup/"+strings.Repeat("x", 2000), "").Code)
	r.ingress.options.Table = func() *routing.Table { return nil }
	unconfigured := r.call("GET", "/lookup/", "")
	require.Equal(t, http.StatusServiceUnavailable, unconfigured.Code)
	require.NotEmpty(t, unconfigured.Header().Get("Retry-After"))
	require.Empty(t, r.sent)
}

func TestSplitFollowsTheWeights(t *testing.T) {
	split := tree.Split{{Service: "a", Weight: 3}, {Service: "none", Weight: 0}, {Service: "b", Weight: 1}}
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[drawPart(split, float64(i)/draws)]++
	}
	require.Equal(t, map[string]int{"a": 750, "b": 250}, counts)
}

func TestHopsReadWhatTheyWrite(t *testing.T) {
	request := calls.HopMetadata{Server: "i 1/2", Route: "s/r", Priority: 2, Idempotent: true, Objective: -time.Second, Deadline: time.Minute, FinishBy: 70 * time.Millisecond}
	header := http.Header{}
	request.Write(header)
	got, err := calls.ReadHopMetadata(header)
	require.NoError(t, err)
	require.Equal(t, request, got)
	result := &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull, Load: &calls.Load{Running: 1, Waiting: 2, Slots: 3}, RetryAfter: 5 * time.Millisecond, Latency: 7 * time.Microsecond}
	read, err := calls.ParseResult(result.String())
	require.NoError(t, err)
	require.Equal(t, result, read)
	for _, bad := range []string{"", "a b", "answered - - x 1", "maybe - - 1 1"} {
		_, err := calls.ParseResult(bad)
		require.Error(t, err, bad)
	}
}
