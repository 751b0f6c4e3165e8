package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/replica"
	"samphireflow/internal/state"
	"samphireflow/internal/waltest"
)

const (
	clusterID      = "proof"
	tickInterval   = 5 * time.Millisecond
	attemptTimeout = 250 * time.Millisecond
	settleTimeout  = 20 * time.Second
	snapshotEvery  = 20
	retained       = 5
	// maxFreeBytes bounds the free bytes that a disk has left when the test fills it up.
	maxFreeBytes = 2000
)

// instance is one in-process control instance.
type instance struct {
	name string
	disk *waltest.Disk
	mu   sync.RWMutex
	// replica and machine are those of the running life; replica is nil while the instance is down.
	replica *replica.Replica
	machine *state.Machine
	frozen  bool
	// broken is set while the disk fails to sync or is full.
	broken bool
}

func (i *instance) running() (*replica.Replica, *state.Machine) {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.replica, i.machine
}

// group is a control group with its network and disks.
type group struct {
	t         *testing.T
	network   *network
	random    *rand.Rand
	members   []replica.Member
	instances []*instance
	// open lets instances join without an operator.
	open bool
}

func startGroup(t *testing.T, seed uint64, size int) *group {
	return (&group{t: t, network: newNetwork(seed), random: rand.New(rand.NewPCG(seed, 2))}).form(size)
}

func startOpenGroup(t *testing.T, seed uint64, size int) *group {
	return (&group{t: t, network: newNetwork(seed), random: rand.New(rand.NewPCG(seed, 2)), open: true}).form(size)
}

// form starts the first instances and waits for their group.
func (g *group) form(size int) *group {
	for i := 0; i < size; i++ {
		name := fmt.Sprint("c", i)
		g.members = append(g.members, replica.Member{ID: name, ControlAddr: name})
		g.instances = append(g.instances, &instance{name: name, disk: waltest.NewDisk()})
	}
	for _, i := range g.instances {
		g.start(i)
	}
	g.t.Cleanup(g.close)
	g.awaitVoters()
	return g
}

func (g *group) start(i *instance) {
	machine := state.NewMachine()
	opened, err := replica.Open(replica.Options{
		ID: i.name, ClusterID: clusterID, Dir: "/data", InitialMembers: g.members, StateMachine: machine,
		Transport: &transport{g.network, i.name}, Logger: zerolog.Nop(), FS: i.disk, TickInterval: tickInterval,
		SnapshotEvery: snapshotEvery, RetainedEntries: retained, SegmentBytes: 4096, OwnAddr: i.name, OpenGroup: g.open,
		Rand: rand.New(rand.NewPCG(g.random.Uint64(), 3)),
	})
	require.NoError(g.t, err)
	g.network.attach(i.name, opened.ReplicationServer())
	i.mu.Lock()
	defer i.mu.Unlock()
	i.replica, i.machine = opened, machine
}

// stop ends an instance; powerLoss drops what its disk has not synced.
func (g *group) stop(i *instance, powerLoss bool) {
	if powerLoss {
		i.disk.PowerLoss(g.random)
	}
	g.thaw(i)
	running, _ := i.running()
	if running == nil {
		return
	}
	g.network.attach(i.name, nil)
	_ = running.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.replica = nil
}

func (g *group) freeze(i *instance) {
	if !i.frozen {
		i.frozen = true
		i.disk.Freeze()
	}
}

func (g *group) thaw(i *instance) {
	if i.frozen {
		i.frozen = false
		i.disk.Thaw()
	}
}

// breakDisk makes all syncs fail, or lets only a few bytes more be written.
func (g *group) breakDisk(i *instance, full bool) {
	i.broken = true
	if full {
		i.disk.SetFreeBytes(g.random.IntN(maxFreeBytes))
		return
	}
	i.disk.FailSyncs(true)
}

// mend ends a broken disk's faults; the instance has to start again from what the disk has kept.
func (g *group) mend(i *instance) {
	if !i.broken {
		return
	}
	i.broken = false
	g.stop(i, true)
	i.disk.FailSyncs(false)
	i.disk.SetFreeBytes(1 << 40)
}

// heal ends all faults and starts what is down.
func (g *group) heal() {
	g.network.heal()
	for _, i := range g.instances {
		g.thaw(i)
		g.mend(i)
		if running, _ := i.running(); running == nil {
			g.start(i)
		}
	}
}

func (g *group) close() {
	for _, i := range g.instances {
		g.stop(i, false)
	}
}

// awaitVoters waits until every instance votes with the folder that it has, and all have applied the same.
func (g *group) awaitVoters() {
	require.Eventually(g.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		for _, i := range g.instances {
			running, _ := i.running()
			if running.ReadIndex(ctx) != nil || !votesWithOwnFolder(running.Status()) {
				return false
			}
		}
		return true
	}, settleTimeout, tickInterval, "the group does not settle")
}

// leader waits for an instance that leads.
func (g *group) leader() *replica.Replica {
	var leader *replica.Replica
	require.Eventually(g.t, func() bool {
		for _, i := range g.instances {
			if running, _ := i.running(); running != nil && running.Status().IsLeader {
				leader = running
				return true
			}
		}
		return false
	}, settleTimeout, tickInterval, "no leader")
	return leader
}

func votesWithOwnFolder(status replica.Status) bool {
	for _, member := range status.Members {
		if member.Identity == status.Identity {
			return !member.Learner
		}
	}
	return false
}
