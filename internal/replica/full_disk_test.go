package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/waltest"
)

const unlimitedDisk = 1 << 40

// diskGroup is a group of replicas over the loopback interface whose disks may fill up.
type diskGroup struct {
	replicas []*Replica
	disks    []*waltest.Disk
}

// startDiskGroup starts a group. The disk of the instance with the number full has no room at its first start, -1 for none.
func startDiskGroup(t *testing.T, count, full int) *diskGroup {
	g := &diskGroup{}
	for range count {
		g.disks = append(g.disks, waltest.NewDisk())
	}
	if full >= 0 {
		g.disks[full].SetFreeBytes(0)
	}
	g.replicas = startTwirpGroup(t, count, func(number int, options *Options) {
		options.FS, options.Dir = g.disks[number], "/data"
		options.SnapshotEvery, options.RetainedEntries, options.SegmentBytes = 8, 4, 4096
	})
	return g
}

// propose proposes a command at any instance until it is known to be applied. The state machine is not idempotent, so a command
// whose outcome is unknown is proposed again under another name. It returns the command.
func (g *diskGroup) propose(ctx context.Context, t *testing.T, name string) string {
	for try := 0; ; try++ {
		require.NoError(t, ctx.Err(), "no change was accepted")
		command := fmt.Sprintf("%s.%d", name, try)
		target := g.replicas[try%len(g.replicas)]
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		_, err := target.Propose(attempt, []byte(command))
		if leader, known := LeaderOf(err); known {
			for _, r := range g.replicas {
				if r.options.ID == leader.ID {
					_, err = r.Propose(attempt, []byte(command))
				}
			}
		}
		cancel()
		if err == nil {
			return command
		}
	}
}

// requireAllRun fails if a replica has stopped.
func (g *diskGroup) requireAllRun(t *testing.T) {
	for _, r := range g.replicas {
		select {
		case <-r.Done():
			require.Fail(t, "a replica has stopped", r.options.ID)
		default:
		}
	}
}

// requireSameStates waits until all state machines hold the same commands, each once, with the given ones among them.
func (g *diskGroup) requireSameStates(ctx context.Context, t *testing.T, acknowledged []string) {
	for _, r := range g.replicas {
		require.Eventually(t, func() bool { return r.ReadIndex(ctx) == nil }, testTimeout, 10*time.Millisecond)
	}
	var states [][]string
	for _, r := range g.replicas {
		var commands []string
		require.NoError(t, r.runOnLoop(ctx, func() {
			commands = append(commands, r.options.StateMachine.(*recordingStateMachine).commands...)
		}))
		states = append(states, commands)
	}
	seen := map[string]int{}
	for _, command := range states[0] {
		seen[command]++
		require.Equal(t, 1, seen[command], "%s was applied twice", command)
	}
	for _, command := range acknowledged {
		require.Equal(t, 1, seen[command], "%s was acknowledged", command)
	}
	for _, state := range states {
		require.Equal(t, states[0], state)
	}
}

// TestDisksFullInTurnDoNotStopChanges guards against a group that refuses changes, or whose processes end, after the disks of its
// instances were full one after the other, never two at once.
func TestDisksFullInTurnDoNotStopChanges(t *testing.T) {
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := startDiskGroup(t, 3, -1)
		ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
		defer cancel()
		acknowledged := []string{g.propose(ctx, t, "first")}
		for round := range 6 {
			full := round % len(g.disks)
			g.disks[full].SetFreeBytes(random.IntN(300))
			for n := range 5 {
				acknowledged = append(acknowledged, g.propose(ctx, t, fmt.Sprintf("round %d, %d", round, n)))
			}
			g.requireAllRun(t)
			g.disks[full].SetFreeBytes(unlimitedDisk)
			require.Eventually(t, func() bool { return !g.replicas[full].Status().Paused }, testTimeout, 10*time.Millisecond)
		}
		g.requireSameStates(ctx, t, acknowledged)
		g.requireAllRun(t)
	}
}

// TestLeaderWithAFullDiskMakesWay guards against a leader that cannot write and keeps the others from electing another one, and
// against requests that wait for it.
func TestLeaderWithAFullDiskMakesWay(t *testing.T) {
	g := startDiskGroup(t, 3, -1)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	g.propose(ctx, t, "first")
	leader := -1
	for i, r := range g.replicas {
		if r.Status().IsLeader {
			leader = i
		}
	}
	require.GreaterOrEqual(t, leader, 0)
	g.disks[leader].SetFreeBytes(0)
	_, err := g.replicas[leader].Propose(ctx, []byte("unknown"))
	require.ErrorIs(t, err, ErrOutcomeUnknown, "other instances may have the entry")
	require.Eventually(t, func() bool { return g.replicas[leader].Status().Paused }, testTimeout, time.Millisecond)
	require.Empty(t, g.replicas[leader].Status().Leader)
	began := time.Now()
	_, err = g.replicas[leader].Propose(ctx, []byte("refused"))
	require.ErrorIs(t, err, ErrNoQuorum)
	require.ErrorIs(t, g.replicas[leader].ReadIndex(ctx), ErrNoQuorum)
	require.Less(t, time.Since(began), testTimeout/2, "a paused instance answers at once")
	acknowledged := []string{g.propose(ctx, t, "second")}
	g.disks[leader].SetFreeBytes(unlimitedDisk)
	g.requireSameStates(ctx, t, acknowledged)
	g.requireAllRun(t)
}

// TestInstanceStartsOnAFullDisk guards against an instance that ends at its start while its disk is full: it takes part once there is
// room, also where it is needed to form the group.
func TestInstanceStartsOnAFullDisk(t *testing.T) {
	for full := range 3 {
		g := startDiskGroup(t, 3, full)
		require.True(t, g.replicas[full].Status().Paused || g.replicas[full].Status().Leader == "")
		g.disks[full].SetFreeBytes(100)
		time.Sleep(2 * roomInterval)
		g.requireAllRun(t)
		g.disks[full].SetFreeBytes(unlimitedDisk)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		g.requireSameStates(ctx, t, []string{g.propose(ctx, t, "first")})
	}
}

// TestPausedReplicaCloses checks that a replica whose disk is full can be closed.
func TestPausedReplicaCloses(t *testing.T) {
	g := startDiskGroup(t, 1, 0)
	require.Eventually(t, func() bool { return g.replicas[0].Status().Paused }, testTimeout, time.Millisecond)
	require.NoError(t, g.replicas[0].Close())
	_, err := g.replicas[0].Propose(t.Context(), nil)
	require.True(t, errors.Is(err, ErrClosed))
}
