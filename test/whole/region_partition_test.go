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

// lookupTimeout bounds the wait until a node answers lookups, also one that restarts during the partition.
const lookupTimeout = 30 * time.Second

// TestRegionsPartitionedFromEachOther partitions the two regions. The region with a majority of the control group accepts
// an edit; in the other region an edit fails. Nodes in both regions answer lookups, also after a node restarts in the
// minority. When the partition ends, all nodes converge. No node's applied version ever decreases.
func TestRegionsPartitionedFromEachOther(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	o := newObserver()
	observing, stop := context.WithCancel(ctx)
	defer stop()
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		go o.run(observing, node)
	}
	south, north := nodesBySide(d)
	require.NoError(t, d.PartitionDomains(ctx, "hobart", "launceston"))

	harness.Eventually(ctx, t, "an edit in the majority region", recoveryTimeout, func() bool {
		_, err := d.CLIAt(ctx, controlIn(d, "hobart"), "set", "/sites/hobart", "note=during the cut")
		return err == nil
	})
	version, err := d.AcceptedVersion(ctx)
	require.NoError(t, err)
	awaitNodes(ctx, t, south, version)

	_, err = d.CLIAt(ctx, controlIn(d, "devonport"), "--timeout", "3s", "set", "/sites/burnie", "note=refused")
	require.Error(t, err, "an edit in the minority region")

	killed := north[0]
	require.NoError(t, d.Kill(killed))
	_, err = d.Restart(killed)
	require.NoError(t, err)
	for _, node := range append(south, north...) {
		harness.Eventually(ctx, t, "lookups at "+node.Instance, lookupTimeout, func() bool { return servesLookup(node) })
	}

	require.NoError(t, d.PartitionDomains(ctx))
	awaitNodes(ctx, t, north, version)
	require.Empty(t, o.violations())
}

// nodesBySide returns the nodes of the southern failure domains and those of the northern ones.
func nodesBySide(d *deployment.Deployment) (south, north []deployment.Process) {
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
		harness.Eventually(ctx, t, "the version in force at "+node.Instance, convergenceTimeout, func() bool {
			applied, ok := appliedVersion(nodeClient, node)
			return ok && applied >= version
		})
	}
}

func servesLookup(node deployment.Process) bool {
	response, err := nodeClient.Get("http://" + node.CallerAddr + "/rota/pass-1")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
