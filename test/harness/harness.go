// Package harness starts deployments of real processes for the proofs that `make prove` runs.
package harness

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/deployment"
)

// Names of the environment variables that turn the proofs on.
const (
	envProve = "SAMPHIREFLOW_PROVE"
	envBin   = "SAMPHIREFLOW_BIN"
)

const (
	// proofTimeout bounds one proof.
	proofTimeout = 5 * time.Minute
	// settleTime bounds the wait for the first relays.
	settleTime = 30 * time.Second
)

// Start starts a deployment whose processes can be cut off from each other, and ends it with the test. It skips
// the test outside of `make prove`.
func Start(t *testing.T, layout deployment.Layout) (context.Context, *deployment.Deployment) {
	t.Helper()
	if os.Getenv(envProve) == "" {
		t.Skip("runs real processes; use make prove")
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	t.Cleanup(cancel)
	dir := t.TempDir()
	t.Cleanup(func() { keepLogs(t, dir) })
	d, err := deployment.New(layout, os.Getenv(envBin), dir)
	require.NoError(t, err)
	d.EnableFaultInjection()
	t.Cleanup(func() { require.NoError(t, d.Stop()) })
	require.NoError(t, d.Start(ctx))
	for _, node := range ByRole(d, deployment.RoleNode) {
		Eventually(ctx, t, "relays known at "+node.Instance, settleTime, func() bool { return knowsRelays(ctx, node) })
	}
	return ctx, d
}

// knowsRelays reports whether a node acts on a version that names the relays of its failure domain.
func knowsRelays(ctx context.Context, node deployment.Process) bool {
	client := apiv1.NewInspectProtobufClient("http://"+node.ControlAddr, http.DefaultClient)
	applied, err := client.Applied(ctx, &apiv1.AppliedRequest{Whole: true})
	if err != nil {
		return false
	}
	for _, assignment := range applied.GetSnapshot().GetAssignments() {
		if assignment.Role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY && assignment.FailureDomain == node.FailureDomain {
			return true
		}
	}
	return false
}

// keepLogs copies the logs of a failed proof to the folder of the test's package.
func keepLogs(t *testing.T, dir string) {
	if !t.Failed() {
		return
	}
	kept := filepath.Join(".run", t.Name())
	if err := os.RemoveAll(kept); err != nil {
		t.Log(err)
	}
	if err := os.CopyFS(kept, os.DirFS(filepath.Join(dir, "logs"))); err != nil {
		t.Log(err)
	}
	t.Logf("logs kept in %s", kept)
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
