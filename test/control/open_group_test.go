package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/waltest"
)

// join starts a new instance that joins the group.
func (g *group) join(name string) *instance {
	i := &instance{name: name, disk: waltest.NewDisk()}
	g.start(i)
	g.instances = append(g.instances, i)
	return i
}

// discard crashes an instance that will not return.
func (g *group) discard(index int) {
	g.stop(g.instances[index], true)
	g.instances = append(g.instances[:index:index], g.instances[index+1:]...)
}

// awaitMembers waits until the leader's group has the given number of members.
func (g *group) awaitMembers(count int) {
	require.Eventually(g.t, func() bool { return len(g.leader().Status().Members) == count }, settleTimeout, tickInterval,
		"members of the group: %d expected", count)
}

// TestLostVotersAreRemoved replaces all instances one after the other; each replacement joins before its predecessor
// crashes. If the group kept crashed voters, it would lose its quorum at the second crash
// (deploy/days/control-exchanged.toml).
func TestLostVotersAreRemoved(t *testing.T) {
	g := startOpenGroup(t, 3, 3)
	version := g.acceptEdit("first", 0)
	for i, name := range []string{"c3", "c4", "c5"} {
		g.join(name)
		g.awaitVoters()
		g.discard(0)
		g.awaitMembers(3)
		version = g.acceptEdit(name, version)
		require.Equal(t, uint64(i+2), version)
	}
	g.awaitVoters()
}

// TestPartitionedVoterRejoins partitions a voter until a new instance has replaced it. When the partition ends, the voter
// must join again and vote.
func TestPartitionedVoterRejoins(t *testing.T) {
	g := startOpenGroup(t, 4, 3)
	version := g.acceptEdit("first", 0)
	partitioned := g.instances[0]
	for _, other := range []string{"c1", "c2", "c3"} {
		g.network.block(partitioned.name, other)
		g.network.block(other, partitioned.name)
	}
	g.instances = g.instances[1:]
	g.join("c3")
	g.awaitVoters()
	g.awaitMembers(3)
	version = g.acceptEdit("second", version)
	g.network.heal()
	g.instances = append(g.instances, partitioned)
	g.awaitVoters()
	g.awaitMembers(4)
	g.acceptEdit("third", version)
	_, machine := partitioned.running()
	require.Eventually(t, func() bool { return machine.View().Version == 3 }, settleTimeout, tickInterval)
}

// TestDisksLostWhileOthersAreAway guards against a group that never serves again, and an acknowledged edit that is
// gone: two instances of six are away for longer than a dead voter is kept, then two others lose their disks, which is
// as many as may be lost. Once all are back, the group must go on.
func TestDisksLostWhileOthersAreAway(t *testing.T) {
	g := (&group{t: t, network: newNetwork(5), random: rand.New(rand.NewPCG(5, 2)), open: true, toleratedLosses: 2}).form(6)
	version := g.acceptEdit("first", 0)
	for _, away := range g.instances[:2] {
		g.stop(away, true)
	}
	all := g.instances
	g.instances = all[2:]
	version = g.acceptEdit("while two are away", version)
	// The time after which a voter without contact is dead is a multiple of the election timeout.
	time.Sleep(10 * attemptTimeout)
	version = g.acceptEdit("later", version)
	g.instances = all
	for _, instance := range all[2:] {
		g.stop(instance, true)
	}
	for _, lost := range all[2:4] {
		lost.disk = waltest.NewDisk()
	}
	for _, instance := range all {
		g.start(instance)
	}
	g.awaitVoters()
	for _, instance := range all {
		_, machine := instance.running()
		require.Equal(t, version, machine.View().Version, instance.name)
	}
}
