package whole

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

// restartTime is the time within which a node that restarts in a cut region serves again.
const restartTime = 30 * time.Second

// TestRegionsCutFromEachOther cuts the regions apart. The side with a majority of the control group takes edits, the
// other one refuses them and says so; both serve lookups, over the crash of a node too; after the cut all nodes
// converge, and none goes back on the way.
func TestRegionsCutFromEachOther(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	o := newObserver()
	observing, stop := context.WithCancel(ctx)
	defer stop()
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		go o.run(observing, node)
	}
	south, north := bySide(d)
	require.NoError(t, d.PartitionDomains(ctx, "hobart", "launceston"))

	harness.Eventually(ctx, t, "an edit on the side of the majority", healTime, func() bool {
		_, err := d.CLIAt(ctx, controlIn(d, "hobart"), "set", "/sites/hobart", "note=during the cut")
		return err == nil
	})
	version, err := d.AcceptedVersion(ctx)
	require.NoError(t, err)
	awaitNodes(ctx, t, south, version)

	_, err = d.CLIAt(ctx, controlIn(d, "devonport"), "--timeout", "3s", "set", "/sites/burnie", "note=refused")
	require.Error(t, err, "an edit on the side of the minority")

	killed := north[0]
	require.NoError(t, d.Kill(killed))
	_, err = d.Restart(killed)
	require.NoError(t, err)
	for _, node := range append(south, north...) {
		harness.Eventually(ctx, t, "lookups at "+node.Instance, restartTime, func() bool { return answersLookup(node) })
	}

	require.NoError(t, d.PartitionDomains(ctx))
	awaitNodes(ctx, t, north, version)
	require.Empty(t, o.found())
}

func bySide(d *deployment.Deployment) (south, north []deployment.Process) {
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		if node.FailureDomain == "hobart" || node.FailureDomain == "launceston" {
			south = append(south, node)
			continue
		}
		north = append(north, node)
	}
	return south, north
}

func controlIn(d *deployment.Deployment, domain string) deployment.Process {
	for _, control := range harness.ByRole(d, deployment.RoleControl) {
		if control.FailureDomain == domain {
			return control
		}
	}
	return deployment.Process{}
}

func awaitNodes(ctx context.Context, t *testing.T, nodes []deployment.Process, version uint64) {
	t.Helper()
	for _, node := range nodes {
		harness.Eventually(ctx, t, "the version in force at "+node.Instance, inForceTime, func() bool {
			applied, ok := appliedVersion(nodeClient, node)
			return ok && applied >= version
		})
	}
}

func answersLookup(node deployment.Process) bool {
	response, err := nodeClient.Get("http://" + node.CallerAddr + "/rota/pass-1")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
