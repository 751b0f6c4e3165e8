package control

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/time/rate"
)

const (
	operators = 4
	// operationsPerFault is the number of answers between two faults.
	operationsPerFault = 25
	checkTimeout       = 60 * time.Second
)

// TestHistory checks that the answers to operators are linearizable and that no accepted edit is lost while in-process
// instances crash, block on their disks, are partitioned and lose their disks. SAMPHIREFLOW_SEED sets the seed, and
// SAMPHIREFLOW_OPERATIONS the number of recorded operations per operator.
func TestHistory(t *testing.T) {
	for _, size := range []int{3, 5} {
		seed := uint64(intFromEnv("SAMPHIREFLOW_SEED", size))
		t.Run(fmt.Sprintf("%d instances, seed %d", size, seed), func(t *testing.T) {
			defer goleak.VerifyNone(t)
			checkHistory(t, seed, size, intFromEnv("SAMPHIREFLOW_OPERATIONS", 60))
		})
	}
}

// intFromEnv returns the integer in an environment variable, or the fallback if there is none.
func intFromEnv(name string, fallback int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return value
}

func checkHistory(t *testing.T, seed uint64, size, operations int) {
	g := startGroup(t, seed, size)
	defer g.close()
	h := newHistory()
	startOperators(h, groupService{g}, seed, operations, rate.Inf)
	f := &faultInjector{group: g, counts: map[string]int{}}
	injectFaults(f.next, h, 0)
	g.heal()
	g.awaitVoters()
	h.resolve(t, groupService{g}, seed)
	g.awaitVoters()
	checkReplicas(t, g, h)
	checkLinearizable(t, h, seed, 0)
	t.Logf("%d operations, %d edits accepted, faults %v", len(h.operations), len(h.accepted), f.counts)
}

// checkLinearizable checks that the history is linearizable for a tree that starts at the given version.
func checkLinearizable(t *testing.T, h *history, seed, version uint64) {
	model := modelFrom(version)
	result, info := porcupine.CheckOperationsVerbose(model, h.operations, checkTimeout)
	if result != porcupine.Ok {
		path := fmt.Sprintf("%s/history-%d.html", os.TempDir(), seed)
		_ = porcupine.VisualizePath(model, info, path)
		t.Fatalf("the history of %d operations is %s; see %s", len(h.operations), result, path)
	}
}

// injectFaults injects a fault after every operationsPerFault answers until the operators are done, but no sooner than
// minDuration after the last one.
func injectFaults(inject func(), h *history, minDuration time.Duration) {
	next := make(chan struct{}, 1)
	go func() {
		defer close(next)
		count, last := 0, time.Now()
		for range h.answered {
			count++
			if count < operationsPerFault || time.Since(last) < minDuration {
				continue
			}
			select {
			case next <- struct{}{}:
				count, last = 0, time.Now()
			default:
			}
		}
	}()
	for range next {
		inject()
	}
}

// checkReplicas checks that the history of every instance holds every accepted edit at its version, and that each version
// was made by another edit.
func checkReplicas(t *testing.T, g *group, h *history) {
	for _, i := range g.instances {
		_, machine := i.running()
		view := machine.View()
		versions := map[string]uint64{}
		for _, entry := range view.History(0, int(view.Version)) {
			versions[entry.EditId] = entry.Version
		}
		for editID, version := range h.accepted {
			require.Equal(t, version, versions[editID], "%s lost the accepted edit %s", i.name, editID)
		}
		require.Len(t, versions, int(view.Version))
	}
}
