package traffic

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
	"samphireflow/internal/proxy"
	"samphireflow/test/harness"
)

// TestCrashingRequestIsBlocked sends a request that crashes backend servers through every node in turn, as a caller
// does that retries it. At most two backend servers may crash before the request is blocked, and other calls must go on.
func TestCrashingRequestIsBlocked(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	calls := startCallers(ctx, d)
	calls.awaitCompleted(ctx, t, 1000)
	client := &http.Client{Timeout: callerTimeout}
	refusals := 0
	nodes := harness.ByRole(d, deployment.RoleNode)
	for _, node := range nodes {
		request, err := http.NewRequest(http.MethodGet, "http://"+node.CallerAddr+"/rota/"+deployment.CrashMarker, nil)
		require.NoError(t, err)
		got, err := send(client, request)
		require.NoError(t, err)
		if got.status == http.StatusUnprocessableEntity && got.outcome == proxy.OutcomeNotRun {
			refusals++
		}
	}
	crashed := crashedServers(d)
	t.Logf("%d backend servers crashed, %d of %d sends were refused", len(crashed), refusals, len(nodes))
	require.LessOrEqual(t, len(crashed), 2)
	require.GreaterOrEqual(t, refusals, len(nodes)-2)
	calls.awaitCompleted(ctx, t, 1000)
	got := calls.stop()
	require.Greater(t, got.done, 2000)
	for _, server := range crashed {
		_, err := d.Restart(server)
		require.NoError(t, err)
	}
}

func crashedServers(d *deployment.Deployment) []deployment.Process {
	var crashed []deployment.Process
	for _, server := range d.Processes() {
		if server.Role == deployment.RoleBackendServer && syscall.Kill(server.PID, 0) != nil {
			crashed = append(crashed, server)
		}
	}
	return crashed
}
