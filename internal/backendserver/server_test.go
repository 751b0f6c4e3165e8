package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func testConfig() Config {
	return Config{
		Instance: "hobart-1", FailureDomain: "hobart", Service: "rota-board", Version: "v1",
		Addr: "127.0.0.1:1", AdminAddr: "127.0.0.1:2",
		Slots: 1, QueueLength: 0, Connections: 10, TraceExporter: "none", Seed: 1,
	}
}

func newTestServer(t *testing.T, cfg Config) *Server {
	t.Helper()
	server, err := New(cfg, zerolog.Nop())
	require.NoError(t, err)
	return server
}

func send(server *Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	server.calls.Handler.ServeHTTP(recorder, request)
	return recorder
}

func setFaults(t *testing.T, server *Server, document string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	server.admin.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(document)))
	require.Equal(t, http.StatusOK, recorder.Code, recorder.Body.String())
}

func executions(t *testing.T, server *Server) []Execution {
	t.Helper()
	var text bytes.Buffer
	require.NoError(t, server.journal.writeTo(&text))
	var list []Execution
	for line := range strings.Lines(text.String()) {
		var execution Execution
		require.NoError(t, json.Unmarshal([]byte(line), &execution))
		list = append(list, execution)
	}
	return list
}

func TestWriteEchoesTheRequest(t *testing.T) {
	server := newTestServer(t, testConfig())
	recorder := send(server, http.MethodPost, "/shifts", "one shift", HeaderKey, "key-1")
	require.Equal(t, http.StatusOK, recorder.Code)
	require.Equal(t, "0/1", recorder.Header().Get(HeaderLoad))
	var response WriteResponse
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &response))
	call := call{body: []byte("one shift")}
	require.Equal(t, WriteResponse{Key: "key-1", BodyDigest: call.bodyDigest(), Instance: "hobart-1", Version: "v1"}, response)
	list := executions(t, server)
	require.Len(t, list, 1)
	require.Equal(t, ResultOK, list[0].Result)
	require.NotNil(t, list[0].Ended)
}

func TestCallBeyondSlotsIsShed(t *testing.T) {
	server := newTestServer(t, testConfig())
	require.NoError(t, server.slots.acquire(context.Background()))
	recorder := send(server, http.MethodGet, "/rota/1", "")
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.Equal(t, "1", recorder.Header().Get(HeaderShed))
	require.Empty(t, executions(t, server))
	server.slots.release()
	require.Equal(t, http.StatusOK, send(server, http.MethodGet, "/rota/1", "").Code)
}

func TestExpiredCallIsRefusedBeforeItRuns(t *testing.T) {
	server := newTestServer(t, testConfig())
	past := strconv.FormatInt(time.Now().Add(-time.Second).UnixMilli(), 10)
	recorder := send(server, http.MethodPost, "/shifts", "", HeaderDeadline, past)
	require.Equal(t, http.StatusGatewayTimeout, recorder.Code)
	require.Equal(t, "1", recorder.Header().Get(HeaderShed))
	require.Equal(t, http.StatusBadRequest, send(server, http.MethodPost, "/shifts", "", HeaderDeadline, "soon").Code)
	require.Empty(t, executions(t, server))
}

func TestCancellationEndsExecution(t *testing.T) {
	server := newTestServer(t, testConfig())
	setFaults(t, server, `{"faults": [{"kind": "delay", "delay": "1h"}]}`)
	ctx, cancel := context.WithCancel(context.Background())
	request := httptest.NewRequest(http.MethodPost, "/shifts", nil).WithContext(ctx)
	done := make(chan int)
	go func() {
		recorder := httptest.NewRecorder()
		server.calls.Handler.ServeHTTP(recorder, request)
		done <- recorder.Code
	}()
	cancel()
	require.Equal(t, http.StatusGatewayTimeout, <-done)
	for _, execution := range executions(t, server) {
		require.Equal(t, ResultCancelled, execution.Result)
	}
}

func TestFaultAppliesToOneRouteOnly(t *testing.T) {
	server := newTestServer(t, testConfig())
	setFaults(t, server, `{"faults": [{"kind": "error", "status": 502, "path": "/shifts/*"}]}`)
	require.Equal(t, http.StatusBadGateway, send(server, http.MethodGet, "/shifts/7", "").Code)
	require.Equal(t, http.StatusOK, send(server, http.MethodGet, "/rota/7", "").Code)
	setFaults(t, server, `{}`)
	require.Equal(t, http.StatusOK, send(server, http.MethodGet, "/shifts/7", "").Code)
}

func TestFaultConditions(t *testing.T) {
	rate := 0.5
	call := &call{method: http.MethodPost, path: "/shifts", body: []byte("abc"), header: http.Header{"X-Crash": {"1"}}}
	tests := []struct {
		name       string
		fault      Fault
		age        time.Duration
		load, draw float64
		applies    bool
	}{
		{"bare", Fault{}, 0, 0, 0, true},
		{"too early", Fault{After: Duration(time.Second)}, time.Second - 1, 0, 0, false},
		{"late enough", Fault{After: Duration(time.Second)}, time.Second, 0, 0, true},
		{"load too low", Fault{MinLoad: 0.8}, 0, 0.7, 0, false},
		{"load reached", Fault{MinLoad: 0.8}, 0, 0.8, 0, true},
		{"drawn", Fault{Rate: &rate}, 0, 0, 0.49, true},
		{"not drawn", Fault{Rate: &rate}, 0, 0, 0.5, false},
		{"other method", Fault{Method: http.MethodGet}, 0, 0, 0, false},
		{"other path", Fault{Path: "/rota"}, 0, 0, 0, false},
		{"body", Fault{BodyContains: "bc"}, 0, 0, 0, true},
		{"other body", Fault{BodyContains: "x"}, 0, 0, 0, false},
		{"header", Fault{Header: "X-Crash"}, 0, 0, 0, true},
		{"other header", Fault{Header: "X-Other"}, 0, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.applies, test.fault.appliesTo(call, test.age, test.load, test.draw))
		})
	}
}

func TestInvalidFaultSetChangesNothing(t *testing.T) {
	server := newTestServer(t, testConfig())
	for _, document := range []string{
		`{"faults": [{"kind": "melt"}]}`, `{"faults": [{"kind": "error", "rate": 2}]}`, `{"falts": []}`, `{"health": {"lag": "soon"}}`,
	} {
		recorder := httptest.NewRecorder()
		server.admin.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(document)))
		require.Equal(t, http.StatusBadRequest, recorder.Code, document)
	}
	require.Equal(t, FaultSet{}, server.faults.Load().set)
}

func TestCrashedExecutionSurvivesRestart(t *testing.T) {
	cfg := testConfig()
	cfg.Executions = filepath.Join(t.TempDir(), "executions.jsonl")
	cfg.CrashMarker = "poison"
	first := newTestServer(t, cfg)
	send(first, http.MethodPost, "/shifts", "good", HeaderKey, "a")
	codes := make(chan int, 1)
	first.exit = func(code int) { codes <- code; panic(http.ErrAbortHandler) }
	require.Panics(t, func() { send(first, http.MethodPost, "/shifts", "poison", HeaderKey, "b") })
	require.Equal(t, ExitCrashed, <-codes)
	require.NoError(t, first.journal.close())

	second := newTestServer(t, cfg)
	send(second, http.MethodPost, "/shifts", "good", HeaderKey, "c")
	list := executions(t, second)
	require.Len(t, list, 3)
	require.Equal(t, []string{"a", "b", "c"}, []string{list[0].Key, list[1].Key, list[2].Key})
	require.Nil(t, list[1].Ended)
	require.NoError(t, second.journal.close())
}

func TestHealthFaultsDelayAndDistortReports(t *testing.T) {
	now := time.Unix(1000, 0)
	samples := []sample{
		{at: now.Add(-3 * time.Second), report: Report{Healthy: true, InFlight: 3}},
		{at: now.Add(-time.Second), report: Report{InFlight: 1}},
	}
	delayed, ok := sampleAt(samples, now.Add(-2*time.Second))
	require.True(t, ok)
	require.Equal(t, Report{Healthy: true, InFlight: 3}, delayed)
	load := 0
	require.Equal(t, Report{Healthy: true}, applyHealthFault(Report{InFlight: 9}, HealthFault{Report: "good", InFlight: &load}))
}

func TestParseConfigNamesAllInvalidSettings(t *testing.T) {
	_, err := ParseConfig([]string{"--instance", "a", "--addr", "localhost:1", "--slots", "0"}, &bytes.Buffer{})
	require.Error(t, err)
	for _, flag := range []string{"--failure-domain", "--service", "--version", "--addr", "--admin-addr", "--slots"} {
		require.Contains(t, err.Error(), flag)
	}
}

func TestColdStartSlowsCalls(t *testing.T) {
	require.Equal(t, maxColdStartFactor, coldStartFactor(0, time.Second))
	require.Equal(t, 3.0, coldStartFactor(500*time.Millisecond, time.Second))
	require.Equal(t, 1.0, coldStartFactor(time.Second, time.Second))
	require.Equal(t, 1.0, coldStartFactor(0, 0))
}
