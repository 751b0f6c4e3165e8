// Package harness starts deployments of real processes for the tests that `make prove` runs.
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

// The tests run only if envProve is set. envBin names the folder of the programs.
const (
	envProve = "SAMPHIREFLOW_PROVE"
	envBin   = "SAMPHIREFLOW_BIN"
)

const (
	// testTimeout bounds one test.
	testTimeout = 5 * time.Minute
	// relayTimeout bounds the wait until a node knows its first relays.
	relayTimeout = 30 * time.Second
)

// Start starts a deployment with fault injection, waits until every node knows its relays, and stops the deployment at
// the end of the test. It skips the test outside of `make prove`.
func Start(t *testing.T, layout deployment.Layout) (context.Context, *deployment.Deployment) {
	t.Helper()
	if os.Getenv(envProve) == "" {
		t.Skip("runs real processes; use make prove")
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	dir := t.TempDir()
	t.Cleanup(func() { saveLogs(t, dir) })
	d, err := deployment.New(layout, os.Getenv(envBin), dir)
	require.NoError(t, err)
	d.EnableFaultInjection()
	t.Cleanup(func() { require.NoError(t, d.Stop()) })
	require.NoError(t, d.Start(ctx))
	for _, node := range ByRole(d, deployment.RoleNode) {
		Eventually(ctx, t, "relays known at "+node.Instance, relayTimeout, func() bool { return knowsRelays(ctx, node) })
	}
	return ctx, d
}

// knowsRelays reports whether a node has applied a configuration that assigns relays to its failure domain.
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

// saveLogs copies the logs of a failed test to the folder .run in the test's package.
func saveLogs(t *testing.T, dir string) {
	if !t.Failed() {
		return
	}
	saved := filepath.Join(".run", t.Name())
	if err := os.RemoveAll(saved); err != nil {
		t.Log(err)
	}
	if err := os.CopyFS(saved, os.DirFS(filepath.Join(dir, "logs"))); err != nil {
		t.Log(err)
	}
	t.Logf("logs saved in %s", saved)
}

// Eventually polls a condition until it holds and returns how long that took. It fails the test after the timeout.
func Eventually(ctx context.Context, t *testing.T, what string, timeout time.Duration, condition func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(timeout)
	for !condition() {
		select {
		case <-ctx.Done():
			require.NoError(t, ctx.Err(), what)
		case <-deadline:
			require.Failf(t, "timed out", "%s within %s", what, timeout)
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
