// Package harness starts deployments of real processes for the proofs that `make prove` runs.
package harness

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
)

// Names of the environment variables that turn the proofs on.
const (
	envProve = "SAMPHIREFLOW_PROVE"
	envBin   = "SAMPHIREFLOW_BIN"
)

// proofTimeout bounds one proof.
const proofTimeout = 5 * time.Minute

// Start starts a deployment whose processes can be cut off from each other, and ends it with the test. It skips
// the test outside of `make prove`.
func Start(t *testing.T, layout deployment.Layout) (context.Context, *deployment.Deployment) {
	t.Helper()
	if os.Getenv(envProve) == "" {
		t.Skip("runs real processes; use make prove")
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	t.Cleanup(cancel)
	d, err := deployment.New(layout, os.Getenv(envBin), t.TempDir())
	require.NoError(t, err)
	d.EnableFaultInjection()
	t.Cleanup(func() { require.NoError(t, d.Stop()) })
	require.NoError(t, d.Start(ctx))
	return ctx, d
}

// Eventually polls a condition until it holds, at most for the time given.
func Eventually(ctx context.Context, t *testing.T, what string, timeout time.Duration, holds func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(timeout)
	for !holds() {
		select {
		case <-ctx.Done():
			require.NoError(t, ctx.Err(), what)
		case <-deadline:
			require.Failf(t, "not in time", "%s within %s", what, timeout)
		case <-ticker.C:
		}
	}
	return time.Since(started)
}

// ByRole returns the processes of one role.
func ByRole(d *deployment.Deployment, role deployment.Role) []deployment.Process {
	var list []deployment.Process
	for _, process := range d.Processes() {
		if process.Role == role {
			list = append(list, process)
		}
	}
	return list
}
