package control

import (
	"testing"

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
