package shell

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/backendserver"
	"samphireflow/internal/proxy"
)

func TestBadInputIsRejectedAndNotRun(t *testing.T) {
	s := startSmall(t)
	past := strconv.FormatInt(time.Now().Add(-time.Minute).UnixMilli(), 10)
	tests := []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		wantInBody               string
	}{
		{"unknown path", http.MethodGet, "/nowhere", "", nil, 404, "/nowhere"},
		{"unknown method", http.MethodDelete, "/shifts", "", nil, 404, "DELETE"},
		{"long key", http.MethodPost, "/shifts", "", http.Header{"Idempotency-Key": {strings.Repeat("k", 200)}}, 400, "Idempotency-Key"},
		{"malformed key", http.MethodPost, "/shifts", "", http.Header{"Idempotency-Key": {"a b"}}, 400, "Idempotency-Key"},
		{"malformed deadline", http.MethodPost, "/shifts", "", http.Header{"Samphireflow-Deadline": {"soon"}}, 400, "Samphireflow-Deadline"},
		{"passed deadline", http.MethodPost, "/shifts", "", http.Header{"Samphireflow-Deadline": {past}}, 504, "deadline"},
		{"oversize body", http.MethodPost, "/shifts", strings.Repeat("b", 2<<20), nil, 413, "body"},
		{"oversize header", http.MethodPost, "/shifts", "", http.Header{"X-Long": {strings.Repeat("h", 80<<10)}}, 431, "header"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, body := s.call(t, test.method, test.path, test.body, test.header)
			require.Equal(t, test.status, response.StatusCode, body)
			require.Equal(t, string(proxy.OutcomeNotRun), response.Header.Get(proxy.HeaderOutcome))
			require.Contains(t, strings.ToLower(body), strings.ToLower(test.wantInBody))
		})
	}
	executions := get(t, "http://"+s.server.AdminAddr+"/executions")
	require.NotContains(t, executions, `"method":"POST"`)
}

func TestResponseBelongsToItsRequest(t *testing.T) {
	s := startSmall(t)
	response, body := s.call(t, http.MethodPost, "/shifts", "one shift", http.Header{"Idempotency-Key": {"key-1"}})
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, string(proxy.OutcomeDone), response.Header.Get(proxy.HeaderOutcome))
	var answer backendserver.WriteResponse
	require.NoError(t, json.Unmarshal([]byte(body), &answer))
	require.Equal(t, "key-1", answer.Key)
	require.Equal(t, deployedVersion, answer.Version)
	require.Contains(t, get(t, "http://"+s.server.AdminAddr+"/executions"), answer.BodyDigest)
}

const deployedVersion = "v1"

func TestFullQueueRejectsCallAsNotRun(t *testing.T) {
	s := startSmall(t)
	s.setFaults(t, `{"faults": [{"kind": "delay", "delay": "1h"}]}`)
	lateDeadline := http.Header{"Samphireflow-Deadline": {strconv.FormatInt(time.Now().Add(time.Hour).UnixMilli(), 10)}}
	var calls sync.WaitGroup
	defer calls.Wait()
	directClient := &http.Client{Transport: &http.Transport{}}
	defer directClient.CloseIdleConnections()
	stop := make(chan struct{})
	defer close(stop)
	for range slots + queue {
		calls.Go(func() { holdCall(t, directClient, "http://"+s.server.CallerAddr+"/shifts", stop) })
	}
	s.awaitInFlight(t, slots+queue)
	response, body := s.call(t, http.MethodPost, "/shifts", "too much", lateDeadline)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, body)
	require.Equal(t, string(proxy.OutcomeNotRun), response.Header.Get(proxy.HeaderOutcome))
}
