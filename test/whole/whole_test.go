// Package whole proves the points that must always hold on the whole system: real processes, callers and operators at
// work, and faults chosen by a seed.
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
	// faultTime is how long faults are made.
	faultTime = 45 * time.Second
	// callersPerDomain and operators work at the same time.
	callersPerDomain = 3
	operators        = 3
	// injectorCount is the number of faults that may last at the same time.
	injectorCount = 2
	// inForceTime is the time within which an accepted edit is in force everywhere.
	inForceTime = 11 * time.Second
	// healTime bounds the wait for the last edit once the faults have ended.
	healTime = 30 * time.Second
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

// TestPointsHoldUnderFaults runs callers and operators under faults and checks the record against the points.
func TestPointsHoldUnderFaults(t *testing.T) {
	layout := deployment.Ploughline()
	ctx, d := harness.Start(t, layout)
	seed := seedFromEnvironment(t)
	l, o := newLedger(), newObserver()
	h := &history{started: time.Now()}

	working, stopWork := context.WithCancel(ctx)
	defer stopWork()
	var work sync.WaitGroup
	for i, domain := range layout.Domains {
		for j := range callersPerDomain {
			name := fmt.Sprintf("%s-caller-%d-seed-%d", domain.Name, j, seed)
			c := newCaller(name, domain.Name, d, layout, seed+uint64(10*i+j), l)
			work.Go(func() { c.run(working) })
		}
	}
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		work.Go(func() { o.run(working, node) })
	}
	stopEdits := make(chan struct{})
	var editing sync.WaitGroup
	for i := range operators {
		editing.Go(func() { require.NoError(t, newOperator(i, d, seed, h).run(ctx, stopEdits)) })
	}

	faults := makeFaults(ctx, t, d, seed)

	close(stopEdits)
	editing.Wait()
	last := acceptLastEdit(ctx, t, d)
	took := awaitEverywhere(ctx, t, d, last)
	stopWork()
	work.Wait()

	t.Logf("seed %d: %d faults, %d attempts of callers, %d done, %d operations of operators, last edit in force after %s",
		seed, faults, l.calls, l.good, len(h.list), took)
	runs, err := d.CountExecutions(ctx)
	require.NoError(t, err)
	require.Empty(t, l.breaches(runs), "outcomes told against executions")
	require.Empty(t, o.found(), "applied versions")
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(branchModel, h.list, time.Minute), "history of edits and reads")
}

// makeFaults lets injectors work at the same time and returns the number of faults that they made.
func makeFaults(ctx context.Context, t *testing.T, d *deployment.Deployment, seed uint64) int {
	t.Helper()
	until := time.Now().Add(faultTime)
	free := &reserved{instances: map[string]bool{}}
	var injectors []*injector
	var work sync.WaitGroup
	for number := range uint64(injectorCount) {
		i := &injector{t: t, d: d, random: rand.New(rand.NewPCG(seed, number+1)), reserved: free}
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

// acceptLastEdit makes an edit once the faults have ended and returns its version.
func acceptLastEdit(ctx context.Context, t *testing.T, d *deployment.Deployment) uint64 {
	t.Helper()
	harness.Eventually(ctx, t, "the last edit accepted", healTime, func() bool {
		_, err := d.CLI(ctx, "set", "/sites/burnie", "note=last")
		return err == nil
	})
	version, err := d.AcceptedVersion(ctx)
	require.NoError(t, err)
	return version
}

func awaitEverywhere(ctx context.Context, t *testing.T, d *deployment.Deployment, version uint64) time.Duration {
	t.Helper()
	started := time.Now()
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		harness.Eventually(ctx, t, "the last edit in force at "+node.Instance, inForceTime, func() bool {
			applied, ok := appliedVersion(nodeClient, node)
			return ok && applied >= version
		})
	}
	return time.Since(started)
}
