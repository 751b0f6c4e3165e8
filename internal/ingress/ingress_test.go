package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// gateFunc implements Gate for all backend servers of a test.
type gateFunc func(c *calls.Call, instance string, finishBy time.Time) *calls.Result

func (f gateFunc) Pass(_ context.Context, c *calls.Call, instance string, finishBy time.Time) *calls.Result {
	return f(c, instance, finishBy)
}

func (f gateFunc) RepeatedShare() float64 { return 0 }

// fixture is an ingress with three backend servers of one service and two routes, one of which is idempotent. It records
// which backend servers the calls were sent to.
type fixture struct {
	ingress *Ingress
	sent    []string
}

func newFixture(t *testing.T, pass gateFunc) *fixture {
	f := &fixture{}
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
	f.ingress = New(Options{
		Instance: "self", FailureDomain: "hobart", Service: "desk",
		Table: func() *routing.Table { return table },
		Gate: gateFunc(func(c *calls.Call, instance string, finishBy time.Time) *calls.Result {
			f.sent = append(f.sent, instance)
			return pass(c, instance, finishBy)
		}),
		Headers: calls.DefaultHeaders(), Logger: zerolog.Nop(), Now: time.Now, Random: func() float64 { return 0.5 },
	})
	return f
}

// call serves one request and returns the response.
func (f *fixture) call(method, target string, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	request.RequestURI, request.Host = target, "h"
	request.Header.Set(calls.DefaultHeaders().RequestID, "id-1")
	recorder := httptest.NewRecorder()
	f.ingress.ServeHTTP(recorder, request)
	return recorder
}

func answeredResult(status int, body string) *calls.Result {
	return &calls.Result{Outcome: calls.Answered, Response: &exchange.Response{Status: status, Header: http.Header{"Stamp": {"s"}}, Body: []byte(body), Length: int64(len(body))}}
}

func TestResponseIsForwardedUnchanged(t *testing.T) {
	var got *calls.Call
	f := newFixture(t, func(c *calls.Call, _ string, _ time.Time) *calls.Result {
		got = c
		return answeredResult(http.StatusTeapot, "body")
	})
	response := f.call("POST", "/book/1?x=%2f", "data")
	require.Equal(t, http.StatusTeapot, response.Code)
	require.Equal(t, "body", response.Body.String())
	require.Equal(t, "s", response.Header().Get("Stamp"))
	require.Equal(t, "/book/1?x=%2f", got.Target)
	require.Equal(t, "data", string(got.Body))
	require.Equal(t, "desk", got.Header.Get(calls.DefaultHeaders().Caller))
	require.False(t, got.Idempotent)
}

// TestWhichCallsAreRetried lists results of the first attempt with the expected number of attempts and final status.
func TestWhichCallsAreRetried(t *testing.T) {
	for _, c := range []struct {
		name   string
		target string
		first  *calls.Result
		sent   int
		status int
	}{
		{"unknown outcome of an idempotent call", "/lookup/", &calls.Result{Outcome: calls.Unknown}, 2, 200},
		{"unknown outcome of a call that is not idempotent", "/book/", &calls.Result{Outcome: calls.Unknown}, 1, 502},
		{"server error for an idempotent call", "/lookup/", answeredResult(500, ""), 2, 200},
		{"server error for a call that is not idempotent", "/book/", answeredResult(500, ""), 1, 500},
		{"refusal by a draining backend server", "/book/", &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonDraining}, 2, 200},
		{"refusal by a full gate", "/book/", &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}, 2, 200},
		{"expired call", "/lookup/", &calls.Result{Outcome: calls.Expired}, 1, 504},
		{"client error", "/lookup/", answeredResult(404, ""), 1, 404},
	} {
		count := 0
		f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result {
			if count++; count == 1 {
				return c.first
			}
			return answeredResult(200, "")
		})
		response := f.call("GET", c.target, "")
		require.Equal(t, c.status, response.Code, c.name)
		require.Len(t, f.sent, c.sent, c.name)
	}
}

// TestNotRunIsNeverReportedAfterUnknown: one attempt ends with an unknown outcome, and the other gates are full. The call
// may have run, so the response must not say that it has not.
func TestNotRunIsNeverReportedAfterUnknown(t *testing.T) {
	count := 0
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result {
		if count++; count == 1 {
			return &calls.Result{Outcome: calls.Unknown}
		}
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}
	})
	require.Equal(t, http.StatusBadGateway, f.call("GET", "/lookup/", "").Code)
	require.Greater(t, count, 1)
}

// TestAttemptsAreBounded: all attempts end with an unknown outcome. There are no more of them than the route allows.
func TestAttemptsAreBounded(t *testing.T) {
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result { return &calls.Result{Outcome: calls.Unknown} })
	require.Equal(t, http.StatusBadGateway, f.call("GET", "/lookup/", "").Code)
	require.Len(t, f.sent, 2)
}

// Load pattern: all backend servers fail every call. The retries stay within the node's budget for any number of calls.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result { return answeredResult(500, "") })
	const count = 300
	for range count {
		f.call("GET", "/lookup/", "")
	}
	require.LessOrEqual(t, float64(len(f.sent)-count), RetryLimits{}.share()*count+maxRetryBurst)
	require.Greater(t, len(f.sent), count)
}

// Load pattern: every gate is full. The call makes an attempt on time and then late ones, and is refused at once with the
// shortest time after which to retry.
func TestCallIsRefusedAtOnceWhenAllGatesAreFull(t *testing.T) {
	// pastObjective holds the time from the call's objective to finishBy, for each attempt.
	var pastObjective []time.Duration
	f := newFixture(t, func(c *calls.Call, _ string, finishBy time.Time) *calls.Result {
		pastObjective = append(pastObjective, finishBy.Sub(c.Objective))
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull, RetryAfter: 120 * time.Millisecond}
	})
	started := time.Now()
	response := f.call("POST", "/book/", "data")
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
	require.Equal(t, "0.120", response.Header().Get("Retry-After"))
	require.Less(t, time.Since(started), 100*time.Millisecond)
	require.LessOrEqual(t, len(pastObjective), 1+maxLateRefusals)
	require.Negative(t, pastObjective[0])
	require.Positive(t, pastObjective[len(pastObjective)-1])
}

// Load pattern: overload lasts. Only the first call makes an attempt on time until overloadExpiry has passed; the others
// make late attempts only, and are refused after fewer attempts.
func TestOverloadSkipsTheOnTimeAttempt(t *testing.T) {
	var pastObjective []time.Duration
	now := time.Now()
	f := newFixture(t, func(c *calls.Call, _ string, finishBy time.Time) *calls.Result {
		pastObjective = append(pastObjective, finishBy.Sub(c.Objective))
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull, RetryAfter: 120 * time.Millisecond}
	})
	f.ingress.options.Now = func() time.Time { return now }
	f.call("GET", "/lookup/", "")
	require.Negative(t, pastObjective[0])
	require.Len(t, pastObjective, 1+maxLateRefusals)

	pastObjective = nil
	f.call("GET", "/lookup/", "")
	require.GreaterOrEqual(t, pastObjective[0], time.Duration(0))
	require.Len(t, pastObjective, maxLateRefusals)

	pastObjective, now = nil, now.Add(overloadExpiry)
	f.call("GET", "/lookup/", "")
	require.Negative(t, pastObjective[0], "an attempt on time is made again")
}

// Load pattern: overload lasts. A late attempt may take as long as the route's objective at most, however far its deadline
// is, because every call in a gate's queue delays the others.
func TestLateCallsDoNotQueueForLong(t *testing.T) {
	var longest time.Duration
	now := time.Now()
	f := newFixture(t, func(_ *calls.Call, _ string, finishBy time.Time) *calls.Result {
		longest = max(longest, finishBy.Sub(now))
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull, RetryAfter: 120 * time.Millisecond}
	})
	f.ingress.options.Now = func() time.Time { return now }
	f.call("GET", "/lookup/", "")
	require.LessOrEqual(t, longest, 300*time.Millisecond)
}

// Load pattern: a service has few backend servers left, and some stay unreachable. Each is tried once, and the only one
// with a full queue also gets a late attempt.
func TestEachOfFewServersIsTriedOnce(t *testing.T) {
	f := newFixture(t, func(_ *calls.Call, instance string, _ time.Time) *calls.Result {
		if instance == "a" {
			return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}
		}
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonUnreachable}
	})
	require.Equal(t, http.StatusServiceUnavailable, f.call("GET", "/lookup/", "").Code)
	counts := map[string]int{}
	for _, instance := range f.sent {
		counts[instance]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 1, "c": 1}, counts)
}

func TestRefusalsByTheNode(t *testing.T) {
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result { return answeredResult(200, "") })
	require.Equal(t, http.StatusNotFound, f.call("GET", "/other/", "").Code)
	require.Equal(t, http.StatusRequestEntityTooLarge, f.call("POST", "/book/", strings.Repeat("x", 101)).Code)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, f.call("GET", "/lookup/"+strings.Repeat("x", 2000), "").Code)
	f.ingress.options.Table = func() *routing.Table { return nil }
	unconfigured := f.call("GET", "/lookup/", "")
	require.Equal(t, http.StatusServiceUnavailable, unconfigured.Code)
	require.NotEmpty(t, unconfigured.Header().Get("Retry-After"))
	require.Empty(t, f.sent)
}

func TestSplitFollowsWeights(t *testing.T) {
	split := tree.Split{{Service: "a", Weight: 3}, {Service: "none", Weight: 0}, {Service: "b", Weight: 1}}
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[pickWeighted(split, float64(i)/draws)]++
	}
	require.Equal(t, map[string]int{"a": 750, "b": 250}, counts)
}

func TestHopHeadersRoundTrip(t *testing.T) {
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

// TestLegalHeaderOfShortFieldsIsServed sends a header just within the limit of 2,000 bytes whose fields have no optional space.
func TestLegalHeaderOfShortFieldsIsServed(t *testing.T) {
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result { return answeredResult(http.StatusOK, "") })
	request := httptest.NewRequest("GET", "/lookup/1", nil)
	request.RequestURI, request.Host = "/lookup/1", "h"
	length := len("GET /lookup/1 HTTP/1.1\r\n")
	for i := 0; length < 1990; i++ {
		name := "F" + strconv.Itoa(i)
		request.Header[name] = []string{""}
		length += len(name) + len(":\r\n")
	}
	recorder := httptest.NewRecorder()
	f.ingress.ServeHTTP(recorder, request)
	require.Equal(t, http.StatusOK, recorder.Code)
}

// TestCallThatSeveralRoutesMatchIsNotRun guards against a call that goes to the service of another route.
func TestCallThatSeveralRoutesMatchIsNotRun(t *testing.T) {
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result { return answeredResult(200, "") })
	routeOf := func(name, host string) *apiv1.RouteConfig {
		return &apiv1.RouteConfig{Name: name, Service: "rota", Settings: []*apiv1.Setting{
			{Key: tree.KeyRouteHost, Value: host}, {Key: tree.KeyRoutePrefix, Value: "/book/"}, {Key: tree.KeyCallTimeout, Value: "1s"},
		}}
	}
	snap := &apiv1.Snapshot{Services: []*apiv1.ServiceConfig{{Name: "rota"}}, Routes: []*apiv1.RouteConfig{routeOf("a", "H.example"), routeOf("b", "h.EXAMPLE")}}
	table := routing.Build(snap, nil, routing.NewRegistry())
	f.ingress.options.Table = func() *routing.Table { return table }
	request := httptest.NewRequest("POST", "/book/1", nil)
	request.RequestURI, request.Host = "/book/1", "h.example"
	recorder := httptest.NewRecorder()
	f.ingress.ServeHTTP(recorder, request)
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.Empty(t, f.sent)
}
