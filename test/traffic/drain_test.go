package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

const (
	// drainPropagation is the time after which a draining backend server gets no new call from any node.
	drainPropagation = 4 * time.Second
	// quietPeriod is the time after drainPropagation during which the tests check that it gets none.
	quietPeriod = 3 * time.Second
)

// TestDrainRequestedByPlatform drains a backend server under load through the API of the node beside it, as the
// platform does, and then undoes the drain.
func TestDrainRequestedByPlatform(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	calls := startCallers(ctx, d)
	calls.awaitCompleted(ctx, t, 2000)
	node := findProcess(t, d, deployment.RoleNode, "hobart-rota-board-1")
	server := findProcess(t, d, deployment.RoleBackendServer, node.Instance)
	client := apiv1.NewTrafficProtobufClient("http://"+node.ControlAddr, http.DefaultClient)
	response, err := client.Drain(ctx, &apiv1.DrainRequest{})
	require.NoError(t, err)
	require.Equal(t, server.Instance, response.Instance)
	time.Sleep(drainPropagation)
	before := countExecutions(t, server)
	require.Positive(t, before)
	time.Sleep(quietPeriod)
	require.Equal(t, before, countExecutions(t, server), "no new work")
	_, err = client.Drain(ctx, &apiv1.DrainRequest{Undo: true})
	require.NoError(t, err)
	harness.Eventually(ctx, t, "work after the drain is undone", 10*time.Second, func() bool { return countExecutions(t, server) > before })
	got := calls.stop()
	t.Logf("%d done", got.done)
	require.Empty(t, got.interrupted)
	require.Empty(t, got.notRun)
}

// TestDrainOfPartitionedNode partitions every node from the control instances before the drain, so that no node
// learns of it through the membership. The node acts on the order, but does not acknowledge it before it is stored on the disks of the
// control instances.
func TestDrainOfPartitionedNode(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	calls := startCallers(ctx, d)
	calls.awaitCompleted(ctx, t, 2000)
	controls := harness.ByRole(d, deployment.RoleControl)
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		require.NoError(t, d.BlockTraffic(ctx, node, controls...))
	}
	node := findProcess(t, d, deployment.RoleNode, "hobart-rota-board-1")
	server := findProcess(t, d, deployment.RoleBackendServer, node.Instance)
	client := apiv1.NewTrafficProtobufClient("http://"+node.ControlAddr, http.DefaultClient)
	_, err := client.Drain(ctx, &apiv1.DrainRequest{})
	var refused twirp.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, twirp.Unavailable, refused.Code())
	time.Sleep(drainPropagation)
	before := countExecutions(t, server)
	time.Sleep(quietPeriod)
	require.Equal(t, before, countExecutions(t, server), "no new work")
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		require.NoError(t, d.BlockTraffic(ctx, node))
	}
	harness.Eventually(ctx, t, "acknowledgement of the repeated order", 10*time.Second, func() bool {
		_, err := client.Drain(ctx, &apiv1.DrainRequest{})
		return err == nil
	})
	require.Equal(t, before, countExecutions(t, server), "no new work")
	got := calls.stop()
	require.Empty(t, got.interrupted)
}

// TestPlannedStopsCutNothing terminates a backend server and a node under load and starts a new process for the node.
// No call may be interrupted.
func TestPlannedStopsCutNothing(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	calls := startCallers(ctx, d)
	calls.awaitCompleted(ctx, t, 2000)
	require.NoError(t, d.Terminate(findProcess(t, d, deployment.RoleBackendServer, "launceston-shift-desk-2")))
	calls.awaitCompleted(ctx, t, 1000)
	node := findProcess(t, d, deployment.RoleNode, "burnie-rota-board-5")
	require.NoError(t, d.Terminate(node))
	calls.awaitCompleted(ctx, t, 1000)
	server := findProcess(t, d, deployment.RoleBackendServer, node.Instance)
	before := countExecutions(t, server)
	_, err := d.Restart(node)
	require.NoError(t, err)
	harness.Eventually(ctx, t, "work at the backend server beside the new node process", 20*time.Second, func() bool { return countExecutions(t, server) > before })
	calls.awaitCompleted(ctx, t, 1000)
	got := calls.stop()
	t.Logf("%d done, %d refused connections, %d not run", got.done, got.refused, len(got.notRun))
	require.Empty(t, got.interrupted)
	require.Empty(t, got.notRun)
}
