package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

// recoveryTimeout bounds the time until an instance answers again after a start, and until one with an empty disk is a
// voter again.
const recoveryTimeout = 30 * time.Second

// minFaultDuration is the shortest duration of a fault. It is longer than an election.
const minFaultDuration = 2 * time.Second

// operatorRate bounds the edits and reads of one operator, per second.
const operatorRate = 20

// controlLayout returns a layout of control instances only, each in a failure domain of its own.
func controlLayout(size int) deployment.Layout {
	layout := deployment.Layout{Name: "control"}
	for i := 0; i < size; i++ {
		name := fmt.Sprint("domain-", i)
		layout.Domains = append(layout.Domains, deployment.Domain{Name: name, Region: "south"})
		layout.ControlDomains = append(layout.ControlDomains, name)
	}
	return layout
}

// processFaultInjector injects one seeded random fault after another into real processes.
type processFaultInjector struct {
	t        *testing.T
	ctx      context.Context
	d        *deployment.Deployment
	random   *rand.Rand
	controls []deployment.Process
	// undo ends the last fault.
	undo func()
	// counts holds the number of injected faults by kind.
	counts map[string]int
}

func (f *processFaultInjector) next() {
	f.undo()
	victim := f.random.IntN(len(f.controls))
	second := (victim + 1) % len(f.controls)
	kinds := []string{"kill", "freeze", "cut out", "cut in", "cut off", "blank disk", "kill all"}
	kind := kinds[f.random.IntN(len(kinds))]
	f.counts[kind]++
	switch kind {
	case "kill":
		f.kill(victim)
		f.undo = func() { f.restart(victim) }
	case "kill all":
		f.undo = func() {}
		for i := range f.controls {
			f.kill(i)
		}
		for i := range f.controls {
			f.restart(i)
		}
	case "freeze":
		require.NoError(f.t, f.d.Pause(f.controls[victim]))
		f.undo = func() { require.NoError(f.t, f.d.Resume(f.controls[victim])) }
	case "cut out":
		f.block(victim, true, false)
	case "cut in":
		f.block(victim, false, true)
	case "cut off":
		f.block(victim, true, true)
	case "blank disk":
		f.undo = func() {}
		f.awaitVoters()
		f.wipeDataDir(victim)
		f.awaitVoters()
		f.wipeDataDir(second)
	}
}

func (f *processFaultInjector) kill(i int) {
	require.NoError(f.t, f.d.Kill(f.controls[i]))
}

func (f *processFaultInjector) restart(i int) {
	process, err := f.d.Restart(f.controls[i])
	require.NoError(f.t, err)
	f.controls[i] = process
	harness.Eventually(f.ctx, f.t, process.Instance+" listens", recoveryTimeout, func() bool {
		response, err := http.Get("http://" + process.AdminAddr + "/readyz")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	})
}

func (f *processFaultInjector) wipeDataDir(i int) {
	f.kill(i)
	require.NoError(f.t, f.d.WipeDataDir(f.controls[i]))
	f.restart(i)
}

// block drops the messages that an instance sends (out), those that it receives (in), or both, until undo is called.
func (f *processFaultInjector) block(victim int, out, in bool) {
	for i, from := range f.controls {
		var to []deployment.Process
		for j, other := range f.controls {
			if (i == victim && out && j != i) || (j == victim && in && j != i) {
				to = append(to, other)
			}
		}
		require.NoError(f.t, f.d.BlockTraffic(f.ctx, from, to...))
	}
	f.undo = func() {
		for _, from := range f.controls {
			require.NoError(f.t, f.d.BlockTraffic(f.ctx, from))
		}
	}
}

// awaitVoters waits until every instance serves a linearizable read and is a voter.
func (f *processFaultInjector) awaitVoters() {
	client := &http.Client{Timeout: callTimeout}
	for _, control := range f.controls {
		config := apiv1.NewConfigProtobufClient("http://"+control.ControlAddr, client)
		members := apiv1.NewControlMembersProtobufClient("http://"+control.ControlAddr, client)
		harness.Eventually(f.ctx, f.t, control.Instance+" votes", recoveryTimeout, func() bool {
			if readClient(config).unknown {
				return false
			}
			answer, err := members.List(f.ctx, &apiv1.ListControlMembersRequest{})
			return err == nil && answer.Votes
		})
	}
}

// TestProcessHistory checks that the answers to operators are linearizable and that no accepted edit is lost while real
// control instances are killed, paused, partitioned and lose their disks. SAMPHIREFLOW_SEED sets the seed, and
// SAMPHIREFLOW_OPERATIONS the number of recorded operations per operator.
func TestProcessHistory(t *testing.T) {
	for _, size := range []int{3, 5} {
		seed := uint64(intFromEnv("SAMPHIREFLOW_SEED", size))
		t.Run(fmt.Sprintf("%d instances, seed %d", size, seed), func(t *testing.T) {
			ctx, d := harness.Start(t, controlLayout(size))
			f := &processFaultInjector{t: t, ctx: ctx, d: d, random: rand.New(rand.NewPCG(seed, 2)), undo: func() {}, counts: map[string]int{}}
			f.controls = harness.ByRole(d, deployment.RoleControl)
			f.awaitVoters()
			s := newProcessService(f.controls)
			version := readClient(s.clients[0]).version
			h := newHistory()
			startOperators(h, s, seed, intFromEnv("SAMPHIREFLOW_OPERATIONS", 200), operatorRate)
			injectFaults(f.next, h, minFaultDuration)
			f.undo()
			f.awaitVoters()
			h.resolve(t, s, seed)
			checkLinearizable(t, h, seed, version)
			f.checkAccepted(s, h)
			t.Logf("%d operations, %d edits accepted, faults %v", len(h.operations), len(h.accepted), f.counts)
		})
	}
}

// checkAccepted checks that the history of every instance holds every accepted edit at its version.
func (f *processFaultInjector) checkAccepted(s *processService, h *history) {
	for _, client := range s.clients {
		response, err := client.History(f.ctx, &apiv1.HistoryRequest{Limit: uint32(len(h.operations) + 10)})
		require.NoError(f.t, err)
		versions := map[string]uint64{}
		for _, entry := range response.Entries {
			versions[entry.EditId] = entry.Version
		}
		for editID, version := range h.accepted {
			require.Equal(f.t, version, versions[editID], editID)
		}
	}
}
