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

// TestEveryCallThatIsNotServedIsLogged looks for a line with the request's ID and its status.
func TestEveryCallThatIsNotServedIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		result *calls.Result
		status int
	}{
		"a backend server's own failure": {answered(http.StatusInternalServerError, ""), http.StatusInternalServerError},
		"a refusal":                      {&calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}, http.StatusServiceUnavailable},
		"an unknown fate":                {&calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken}, http.StatusBadGateway},
		"a deadline":                     {&calls.Result{Outcome: calls.Expired}, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			r := newRig(t, func(*calls.Call, string, time.Time) *calls.Result { return c.result })
			r.ingress.options.Logger = zerolog.New(&log)
			require.Equal(t, c.status, r.call("POST", "/book/", "data").Code)
			lines := bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n"))
			last := string(lines[len(lines)-1])
			require.Contains(t, last, `"request_id":"id-1"`)
			require.Contains(t, last, `"status":`+strconv.Itoa(c.status)+`,`)
			require.Contains(t, last, `"attempts":[{"backend_server":"`)
		})
	}
}
