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

// TestCrashingRequestAmongOrdinaryOnes sends a request that crashes backend servers through every node in turn, as a
// caller does that sends it again.
func TestCrashingRequestAmongOrdinaryOnes(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	calls := startCallers(ctx, d)
	calls.answered(ctx, t, 1000)
	client := &http.Client{Timeout: giveUp}
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
	dead := deadServers(d)
	t.Logf("%d backend servers died, %d of %d sends were refused", len(dead), refusals, len(nodes))
	require.LessOrEqual(t, len(dead), 2)
	require.GreaterOrEqual(t, refusals, len(nodes)-2)
	calls.answered(ctx, t, 1000)
	got := calls.stop()
	require.Greater(t, got.done, 2000)
	for _, server := range dead {
		_, err := d.Restart(server)
		require.NoError(t, err)
	}
}

func deadServers(d *deployment.Deployment) []deployment.Process {
	var dead []deployment.Process
	for _, server := range d.Processes() {
		if server.Role == deployment.RoleBackendServer && syscall.Kill(server.PID, 0) != nil {
			dead = append(dead, server)
		}
	}
	return dead
}
