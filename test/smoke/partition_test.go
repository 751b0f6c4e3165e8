// Package smoke tests the functions of the harness that the other deployment tests rely on.
package smoke

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

// TestPartitionedDomainKeepsServing partitions one failure domain from all others: its nodes still serve lookups, and the
// majority still accepts edits.
func TestPartitionedDomainKeepsServing(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	require.NoError(t, d.PartitionDomains(ctx, "burnie"))
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		if node.FailureDomain != "burnie" {
			continue
		}
		harness.Eventually(ctx, t, "a response from "+node.Instance, 10*time.Second, func() bool {
			response, err := http.Get("http://" + node.CallerAddr + "/rota/pass-1")
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }()
			return response.StatusCode == http.StatusOK
		})
	}
	_, err := d.CLI(ctx, "set", "/", "call.timeout=1700ms")
	require.NoError(t, err, "the majority accepts edits")
	require.NoError(t, d.PartitionDomains(ctx))
}
