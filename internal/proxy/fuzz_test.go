package proxy

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/routing"
)

// fuzzPath turns any text into a path that a server accepts.
func fuzzPath(path string) string {
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if _, err := url.ParseRequestURI(path); err != nil {
		return "/rota/1"
	}
	return path
}

// FuzzCallerHeaders sends requests with any header values through the whole proxy. Each must get exactly one response with
// a valid outcome, and headers between nodes must not be accepted from callers.
func FuzzCallerHeaders(f *testing.F) {
	f.Add("GET", "/rota/1", "1764800000000", "key", "caller", "3", "close", "n 1 2")
	f.Add("POST", "/shifts/1", "-1", "\x00", "", "-1", "Samphireflow-Deadline", "a b c d")
	f.Add("HEAD", "/pull/1", "99999999999999999999", strings.Repeat("k", 200), "x", "x", ",,,", "")
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerGrant) != "" || r.Header.Get(headerTarget) != "" || r.Header.Get(HeaderDeadline) == "" {
			w.WriteHeader(http.StatusTeapot)
		}
	}))
	f.Cleanup(backend.Close)
	table := routing.Build(snapshotOf(defaultSettings()), []*apiv1.BackendServer{serverInfo("a", backend.Listener.Addr().String())}, routing.NewRegistry())
	p := New(Options{Instance: "n1", Table: func() *routing.Table { return table }, Recorder: discardRecorder{}, Claims: newClaims("n1")})
	f.Fuzz(func(t *testing.T, method, path, deadline, key, caller, depth, connection, grant string) {
		request, err := http.NewRequest(method, "http://node"+fuzzPath(path), strings.NewReader(key))
		if err != nil {
			return
		}
		request.RemoteAddr = caller
		for name, value := range map[string]string{
			HeaderDeadline: deadline, HeaderIdempotencyKey: key, HeaderCaller: caller, HeaderDepth: depth,
			"Connection": connection, headerGrant: grant, headerTarget: grant, HeaderOutcome: "done", HeaderShed: "1",
		} {
			request.Header.Set(name, value)
		}
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, request)
		switch Outcome(recorder.Header().Get(HeaderOutcome)) {
		case OutcomeDone, OutcomeNotRun, OutcomeUnknown:
		default:
			t.Fatalf("outcome %q", recorder.Header().Get(HeaderOutcome))
		}
		if recorder.Code == http.StatusTeapot {
			t.Fatal("a header between nodes was accepted from a caller, or the deadline is missing")
		}
	})
}

// FuzzGateRequest sends a gate requests with any path and any header values of another node.
func FuzzGateRequest(f *testing.F) {
	f.Add("/gate/rota/1", "a", "n2 0 1", "1764800000000", "1")
	f.Add("/gate/", "b", "n2 -1 99999999999999999999", "", "")
	f.Add("/gate/../gate/%2f", "a", "  ", "x", "-5")
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	f.Cleanup(backend.Close)
	gate := newTestGate(f, backend.Listener.Addr().String(), 10, 130)
	f.Fuzz(func(t *testing.T, path, target, grant, deadline, depth string) {
		request, err := http.NewRequest(http.MethodGet, "http://node"+fuzzPath(path), nil)
		if err != nil {
			return
		}
		request.Header.Set(headerTarget, target)
		request.Header.Set(headerGrant, grant)
		request.Header.Set(HeaderDeadline, deadline)
		request.Header.Set(HeaderDepth, depth)
		recorder := httptest.NewRecorder()
		gate.gate.ServeHTTP(recorder, request)
		if recorder.Header().Get(HeaderOutcome) == "" {
			t.Fatal("no outcome")
		}
		if count := readGrant(recorder.Header()); count > 130 {
			t.Fatalf("%d connections granted", count)
		}
	})
}
