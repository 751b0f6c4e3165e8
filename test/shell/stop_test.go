package shell

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
)

// holdCall sends a call and cancels it when stop is closed.
func holdCall(t *testing.T, client *http.Client, url string, stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		t.Error(err)
		return
	}
	go func() {
		<-stop
		cancel()
	}()
	response, err := client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

func TestPlannedStopCompletesCallsInFlight(t *testing.T) {
	for _, role := range []deployment.Role{deployment.RoleNode, deployment.RoleBackendServer} {
		t.Run(string(role), func(t *testing.T) {
			s := startSmall(t)
			s.setFaults(t, `{"faults": [{"kind": "delay", "delay": "1s"}]}`)
			type callResult struct {
				status int
				err    error
			}
			results := make(chan callResult, 1)
			go func() {
				response, err := http.Post("http://"+s.node.CallerAddr+"/shifts", "text/plain", nil)
				if err != nil {
					results <- callResult{err: err}
					return
				}
				_ = response.Body.Close()
				results <- callResult{status: response.StatusCode}
			}()
			s.awaitInFlight(t, 1)
			stopped := s.node
			if role == deployment.RoleBackendServer {
				stopped = s.server
			}
			require.NoError(t, s.Terminate(stopped))
			require.Equal(t, callResult{status: http.StatusOK}, <-results)
		})
	}
}
