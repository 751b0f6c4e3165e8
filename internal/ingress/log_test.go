package ingress

import (
	"bytes"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
)

// TestUnservedCallsAreLogged checks that each call without a successful response leaves a log line with its request ID,
// status and attempts.
func TestUnservedCallsAreLogged(t *testing.T) {
	for name, c := range map[string]struct {
		result *calls.Result
		status int
	}{
		"server error of a backend server": {answeredResult(http.StatusInternalServerError, ""), http.StatusInternalServerError},
		"refusal by a gate":                {&calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}, http.StatusServiceUnavailable},
		"unknown outcome":                  {&calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken}, http.StatusBadGateway},
		"missed deadline":                  {&calls.Result{Outcome: calls.Expired}, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result { return c.result })
			f.ingress.options.Logger = zerolog.New(&log)
			require.Equal(t, c.status, f.call("POST", "/book/", "data").Code)
			lines := bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n"))
			last := string(lines[len(lines)-1])
			require.Contains(t, last, `"request_id":"id-1"`)
			require.Contains(t, last, `"status":`+strconv.Itoa(c.status)+`,`)
			require.Contains(t, last, `"attempts":[{"backend_server":"`)
		})
	}
}
