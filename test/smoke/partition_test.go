// Package smoke proves that the harness does what the other proofs rely on.
package smoke

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

// TestCutDomainGoesOnServing cuts one failure domain off from all others: its nodes still answer lookups.
func TestCutDomainGoesOnServing(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	require.NoError(t, d.PartitionDomains(ctx, "burnie"))
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		if node.FailureDomain != "burnie" {
			continue
		}
		harness.Eventually(ctx, t, "an answer at "+node.Instance, 10*time.Second, func() bool {
			response, err := http.Get("http://" + node.CallerAddr + "/rota/pass-1")
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }()
			return response.StatusCode == http.StatusOK
		})
	}
	_, err := d.CLI(ctx, "set", "/", "call.timeout=1700ms")
	require.NoError(t, err, "the majority takes edits")
	require.NoError(t, d.PartitionDomains(ctx))
}
