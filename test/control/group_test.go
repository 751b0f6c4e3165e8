package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
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
	// maxFreeBytes bounds the free space of a disk that the test makes full.
	maxFreeBytes = 2000
)

// instance is one in-process control instance.
type instance struct {
	name string
	disk *waltest.Disk
	mu   sync.RWMutex
	// replica and machine belong to the latest start; replica is nil while the instance is down.
	replica    *replica.Replica
	machine    *state.Machine
	diskFrozen bool
	// diskBroken is true while the disk fails to sync or is full.
	diskBroken bool
	// diskFilled is true while the disk is full in passing.
	diskFilled bool
}

func (i *instance) running() (*replica.Replica, *state.Machine) {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.replica, i.machine
}

// group is a control group of in-process instances with a simulated network and simulated disks.
type group struct {
	t         *testing.T
	network   *network
	random    *rand.Rand
	members   []replica.Member
	instances []*instance
	// open lets new instances join without an operator's invitation.
	open bool
	// toleratedLosses is the number of instances that may be lost at once with their disks.
	toleratedLosses int
}

func startGroup(t *testing.T, seed uint64, size int) *group {
	return (&group{t: t, network: newNetwork(seed), random: rand.New(rand.NewPCG(seed, 2))}).form(size)
}

func startOpenGroup(t *testing.T, seed uint64, size int) *group {
	return (&group{t: t, network: newNetwork(seed), random: rand.New(rand.NewPCG(seed, 2)), open: true}).form(size)
}

// form starts the first instances and waits until all are voters.
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
		ToleratedLosses: g.toleratedLosses,
		Rand:            rand.New(rand.NewPCG(g.random.Uint64(), 3)),
	})
	require.NoError(g.t, err)
	g.network.attach(i.name, opened.ReplicationServer())
	i.mu.Lock()
	defer i.mu.Unlock()
	i.replica, i.machine = opened, machine
}

// stop ends an instance. With powerLoss, its disk loses data that was not synced.
func (g *group) stop(i *instance, powerLoss bool) {
	if powerLoss {
		i.disk.PowerLoss(g.random)
	}
	g.thawDisk(i)
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

func (g *group) freezeDisk(i *instance) {
	if !i.diskFrozen {
		i.diskFrozen = true
		i.disk.Freeze()
	}
}

func (g *group) thawDisk(i *instance) {
	if i.diskFrozen {
		i.diskFrozen = false
		i.disk.Thaw()
	}
}

// breakDisk makes all syncs of a disk fail, or leaves the disk only a little free space.
func (g *group) breakDisk(i *instance, full bool) {
	i.diskBroken = true
	if full {
		i.disk.SetFreeBytes(g.random.IntN(maxFreeBytes))
		return
	}
	i.disk.FailSyncs(true)
}

// fillDisk leaves a disk only a little free space, until heal makes room without a restart of the instance.
func (g *group) fillDisk(i *instance) {
	i.diskFilled = true
	i.disk.SetFreeBytes(g.random.IntN(maxFreeBytes))
}

// emptyDisk ends the effect of fillDisk.
func (g *group) emptyDisk(i *instance) {
	if i.diskFilled {
		i.diskFilled = false
		i.disk.SetFreeBytes(1 << 40)
	}
}

// repairDisk stops an instance whose disk is broken and repairs the disk. The instance must then start from the data that
// the disk has kept.
func (g *group) repairDisk(i *instance) {
	if !i.diskBroken {
		return
	}
	i.diskBroken = false
	g.stop(i, true)
	i.disk.FailSyncs(false)
	i.disk.SetFreeBytes(1 << 40)
}

// heal ends all faults and starts the instances that are down.
func (g *group) heal() {
	g.network.heal()
	for _, i := range g.instances {
		g.thawDisk(i)
		g.emptyDisk(i)
		g.repairDisk(i)
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

// awaitVoters waits until every instance serves a linearizable read and is a voter with its current data directory.
func (g *group) awaitVoters() {
	settled := assert.Eventually(g.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		for _, i := range g.instances {
			running, _ := i.running()
			if running.ReadIndex(ctx) != nil || !isVoter(running.Status()) {
				return false
			}
		}
		return true
	}, settleTimeout, tickInterval, "the group does not settle")
	if !settled {
		g.t.Fatal(g.describe())
	}
}

// describe returns the state of each instance, one a line.
func (g *group) describe() string {
	var lines strings.Builder
	for _, i := range g.instances {
		running, _ := i.running()
		if running == nil {
			fmt.Fprintf(&lines, "%s is down\n", i.name)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		read := running.ReadIndex(ctx)
		cancel()
		s := running.Status()
		fmt.Fprintf(&lines, "%s identity %s leader %q term %d commit %d applied %d joiners %v contact %s stopped %v read %v members",
			i.name, s.Identity, s.Leader, s.Term, s.Commit, s.Applied, s.Joiners, s.LastContact, isClosed(running.Done()), read)
		for _, member := range s.Members {
			fmt.Fprintf(&lines, " %s=%s learner %v,", member.ID, member.Identity, member.Learner)
		}
		lines.WriteString("\n")
	}
	return lines.String()
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// leader waits until an instance leads and returns it.
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

// isVoter reports whether the instance is a voter under the identity of its current data directory.
func isVoter(status replica.Status) bool {
	for _, member := range status.Members {
		if member.Identity == status.Identity {
			return !member.Learner
		}
	}
	return false
}
