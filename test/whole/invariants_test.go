// Package whole tests the invariants of the complete system: it runs real processes with concurrent callers and operators
// while it injects faults chosen by a seed.
package whole

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

const (
	// injectionTime is how long faults are injected.
	injectionTime = 45 * time.Second
	// callersPerDomain is the number of concurrent callers in each failure domain, operators that of operators in all.
	callersPerDomain = 3
	operators        = 3
	// injectorCount is the number of faults that may be active at the same time.
	injectorCount = 2
	// convergenceTimeout bounds the wait for each node until it applies an accepted edit.
	convergenceTimeout = 11 * time.Second
	// recoveryTimeout bounds the wait until an edit is accepted after the faults, or during a partition.
	recoveryTimeout = 30 * time.Second
)

func seedFromEnvironment(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("SAMPHIREFLOW_SEED")
	if text == "" {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return seed
}

// TestInvariantsHoldUnderFaults runs callers and operators under faults. It checks that the reported outcomes agree with
// the executions of each key, that no node's applied version decreases, and that edits and reads are linearizable.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	layout := deployment.Ploughline()
	ctx, d := harness.Start(t, layout)
	seed := seedFromEnvironment(t)
	l, o := newLedger(), newObserver()
	h := &history{started: time.Now()}

	workCtx, stopWork := context.WithCancel(ctx)
	defer stopWork()
	var work sync.WaitGroup
	for i, domain := range layout.Domains {
		for j := range callersPerDomain {
			name := fmt.Sprintf("%s-caller-%d-seed-%d", domain.Name, j, seed)
			c := newCaller(name, domain.Name, d, layout, seed+uint64(10*i+j), l)
			work.Go(func() { c.run(workCtx) })
		}
	}
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		work.Go(func() { o.run(workCtx, node) })
	}
	stopEdits := make(chan struct{})
	var editing sync.WaitGroup
	for i := range operators {
		editing.Go(func() { require.NoError(t, newOperator(i, d, seed, h).run(ctx, stopEdits)) })
	}

	faults := injectFaults(ctx, t, d, seed)

	close(stopEdits)
	editing.Wait()
	finalVersion := makeFinalEdit(ctx, t, d)
	elapsed := awaitAllNodes(ctx, t, d, finalVersion)
	stopWork()
	work.Wait()

	t.Logf("seed %d: %d faults, %d attempts of callers, %d done, %d operations of operators, final edit in force after %s",
		seed, faults, l.attempts, l.completed, len(h.list), elapsed)
	executions, err := d.CountExecutions(ctx)
	require.NoError(t, err)
	require.Empty(t, l.violations(executions), "reported outcomes compared with executions")
	require.Empty(t, o.violations(), "decreases of applied versions")
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(branchModel, h.list, time.Minute), "history of edits and reads")
}

// injectFaults runs concurrent injectors and returns the number of faults that they injected.
func injectFaults(ctx context.Context, t *testing.T, d *deployment.Deployment, seed uint64) int {
	t.Helper()
	until := time.Now().Add(injectionTime)
	reserved := &reservations{instances: map[string]bool{}}
	var injectors []*injector
	var work sync.WaitGroup
	for number := range uint64(injectorCount) {
		i := &injector{t: t, d: d, random: rand.New(rand.NewPCG(seed, number+1)), reservations: reserved}
		injectors = append(injectors, i)
		work.Go(func() { i.run(ctx, until) })
	}
	work.Wait()
	faults := 0
	for _, i := range injectors {
		faults += i.count
	}
	return faults
}

// makeFinalEdit makes an edit after the faults have ended and returns the newest accepted version.
func makeFinalEdit(ctx context.Context, t *testing.T, d *deployment.Deployment) uint64 {
	t.Helper()
	harness.Eventually(ctx, t, "the final edit accepted", recoveryTimeout, func() bool {
		_, err := d.CLI(ctx, "set", "/sites/burnie", "note=last")
		return err == nil
	})
	version, err := d.AcceptedVersion(ctx)
	require.NoError(t, err)
	return version
}

// awaitAllNodes waits until every node has applied a version and returns how long that took.
func awaitAllNodes(ctx context.Context, t *testing.T, d *deployment.Deployment, version uint64) time.Duration {
	t.Helper()
	started := time.Now()
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		harness.Eventually(ctx, t, "the final edit in force at "+node.Instance, convergenceTimeout, func() bool {
			applied, ok := appliedVersion(nodeClient, node)
			return ok && applied >= version
		})
	}
	return time.Since(started)
}
