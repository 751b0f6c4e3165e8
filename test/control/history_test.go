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
	// operationsPerFault is how many answers pass between two faults.
	operationsPerFault = 25
	checkTimeout       = 60 * time.Second
)

// TestHistory checks what operators were told while instances are killed, frozen, cut off and lose their disks.
// SAMPHIREFLOW_SEED and SAMPHIREFLOW_OPERATIONS change the seed and the length.
func TestHistory(t *testing.T) {
	for _, size := range []int{3, 5} {
		seed := uint64(number("SAMPHIREFLOW_SEED", size))
		t.Run(fmt.Sprintf("%d instances, seed %d", size, seed), func(t *testing.T) {
			defer goleak.VerifyNone(t)
			checkHistory(t, seed, size, number("SAMPHIREFLOW_OPERATIONS", 60))
		})
	}
}

func number(name string, otherwise int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return value
}

func checkHistory(t *testing.T, seed uint64, size, operations int) {
	g := startGroup(t, seed, size)
	defer g.close()
	h := newHistory()
	startOperators(h, groupService{g}, seed, operations, rate.Inf)
	f := &faults{group: g, counts: map[string]int{}}
	injectFaults(f.next, h, 0)
	g.heal()
	g.awaitVoters()
	h.resolve(t, groupService{g}, seed)
	g.awaitVoters()
	checkStates(t, g, h)
	checkLinearizable(t, h, seed, 0)
	t.Logf("%d operations, %d edits accepted, faults %v", len(h.operations), len(h.accepted), f.counts)
}

// checkLinearizable checks the answers against the model, starting at a version.
func checkLinearizable(t *testing.T, h *history, seed, version uint64) {
	model := modelFrom(version)
	result, info := porcupine.CheckOperationsVerbose(model, h.operations, checkTimeout)
	if result != porcupine.Ok {
		path := fmt.Sprintf("%s/history-%d.html", os.TempDir(), seed)
		_ = porcupine.VisualizePath(model, info, path)
		t.Fatalf("the history of %d operations is %s; see %s", len(h.operations), result, path)
	}
}

// injectFaults makes a fault after every few answers, but not before a fault has lasted for a time, until the
// operators are done.
func injectFaults(fault func(), h *history, lasting time.Duration) {
	next := make(chan struct{}, 1)
	go func() {
		defer close(next)
		count, last := 0, time.Now()
		for range h.done {
			count++
			if count < operationsPerFault || time.Since(last) < lasting {
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
		fault()
	}
}

// checkStates makes sure that every accepted edit is in the state of every instance, at its version.
func checkStates(t *testing.T, g *group, h *history) {
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
