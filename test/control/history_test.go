package control

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
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
	h := &history{start: time.Now(), accepted: map[string]uint64{}, done: make(chan struct{})}
	var running sync.WaitGroup
	for id := 0; id < operators; id++ {
		o := &operator{id: id, group: g, history: h, random: rand.New(rand.NewPCG(seed, uint64(10+id)))}
		running.Go(func() { o.run(operations) })
	}
	go func() {
		running.Wait()
		close(h.done)
	}()
	f := &faults{group: g, counts: map[string]int{}}
	injectFaults(f, h)
	g.heal()
	g.awaitVoters()
	checkStates(t, g, h)
	result, info := porcupine.CheckOperationsVerbose(porcupineModel, h.operations, checkTimeout)
	if result != porcupine.Ok {
		path := fmt.Sprintf("%s/history-%d.html", os.TempDir(), seed)
		_ = porcupine.VisualizePath(porcupineModel, info, path)
		t.Fatalf("the history of %d operations is %s; see %s", len(h.operations), result, path)
	}
	t.Logf("%d operations, %d edits accepted, faults %v", len(h.operations), len(h.accepted), f.counts)
}

// injectFaults makes a fault after every few answers until the operators are done.
func injectFaults(f *faults, h *history) {
	next := make(chan struct{}, 1)
	go func() {
		defer close(next)
		count := 0
		for range h.done {
			count++
			if count%operationsPerFault != 0 {
				continue
			}
			select {
			case next <- struct{}{}:
			default:
			}
		}
	}()
	for range next {
		f.next()
	}
}

// checkStates makes sure that every accepted edit is in the state of every instance, at its version.
func checkStates(t *testing.T, g *group, h *history) {
	for _, i := range g.instances {
		_, machine := i.running()
		view := machine.View()
		versions := map[string]uint64{}
		for _, entry := range view.History(0, len(h.operations)) {
			versions[entry.EditId] = entry.Version
		}
		for editID, version := range h.accepted {
			require.Equal(t, version, versions[editID], "%s lost the accepted edit %s", i.name, editID)
		}
		require.Len(t, versions, int(view.Version))
	}
}
