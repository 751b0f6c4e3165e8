package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

const (
	// noNewWork is the time after which a leaving backend server gets no new call from any node.
	noNewWork = 4 * time.Second
	// quiet is the time for which it then must get none.
	quiet = 3 * time.Second
)

// TestDrainOnThePlatformsWord drains a backend server under load.
func TestDrainOnThePlatformsWord(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	calls := startCallers(ctx, d)
	calls.answered(ctx, t, 2000)
	node := find(t, d, deployment.RoleNode, "hobart-rota-board-1")
	server := find(t, d, deployment.RoleBackendServer, node.Instance)
	client := apiv1.NewTrafficProtobufClient("http://"+node.ControlAddr, http.DefaultClient)
	response, err := client.Drain(ctx, &apiv1.DrainRequest{})
	require.NoError(t, err)
	require.Equal(t, server.Instance, response.Instance)
	time.Sleep(noNewWork)
	before := runs(t, server)
	require.Positive(t, before)
	time.Sleep(quiet)
	require.Equal(t, before, runs(t, server), "no new work")
	_, err = client.Drain(ctx, &apiv1.DrainRequest{Undo: true})
	require.NoError(t, err)
	harness.Eventually(ctx, t, "work after the drain is undone", 10*time.Second, func() bool { return runs(t, server) > before })
	got := calls.stop()
	t.Logf("%d done", got.done)
	require.Empty(t, got.cut)
	require.Empty(t, got.notRun)
}

// TestDrainOfACutNode cuts every node off from the control instances and from the relays before the drain, so that
// nobody hears of it from the membership.
func TestDrainOfACutNode(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	calls := startCallers(ctx, d)
	calls.answered(ctx, t, 2000)
	controls := harness.ByRole(d, deployment.RoleControl)
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		require.NoError(t, d.BlockTraffic(ctx, node, controls...))
	}
	node := find(t, d, deployment.RoleNode, "hobart-rota-board-1")
	server := find(t, d, deployment.RoleBackendServer, node.Instance)
	client := apiv1.NewTrafficProtobufClient("http://"+node.ControlAddr, http.DefaultClient)
	_, err := client.Drain(ctx, &apiv1.DrainRequest{})
	require.NoError(t, err)
	time.Sleep(noNewWork)
	before := runs(t, server)
	time.Sleep(quiet)
	require.Equal(t, before, runs(t, server), "no new work")
	got := calls.stop()
	require.Empty(t, got.cut)
}

// TestPlannedStopsCutNothing ends a backend server and a node on a signal under load and replaces the node by a new
// process.
func TestPlannedStopsCutNothing(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	calls := startCallers(ctx, d)
	calls.answered(ctx, t, 2000)
	require.NoError(t, d.Terminate(find(t, d, deployment.RoleBackendServer, "launceston-shift-desk-2")))
	calls.answered(ctx, t, 1000)
	node := find(t, d, deployment.RoleNode, "burnie-rota-board-5")
	require.NoError(t, d.Terminate(node))
	calls.answered(ctx, t, 1000)
	server := find(t, d, deployment.RoleBackendServer, node.Instance)
	before := runs(t, server)
	_, err := d.Restart(node)
	require.NoError(t, err)
	harness.Eventually(ctx, t, "work beside the new process", 20*time.Second, func() bool { return runs(t, server) > before })
	calls.answered(ctx, t, 1000)
	got := calls.stop()
	t.Logf("%d done, %d refused connections, %d not run", got.done, got.refused, len(got.notRun))
	require.Empty(t, got.cut)
	require.Empty(t, got.notRun)
}
