package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/waltest"
)

// join starts an instance of a new name.
func (g *group) join(name string) *instance {
	i := &instance{name: name, disk: waltest.NewDisk()}
	g.start(i)
	g.instances = append(g.instances, i)
	return i
}

// drop ends an instance for good.
func (g *group) drop(index int) {
	g.stop(g.instances[index], true)
	g.instances = append(g.instances[:index:index], g.instances[index+1:]...)
}

// awaitMembers waits until the leader counts that many members.
func (g *group) awaitMembers(count int) {
	require.Eventually(g.t, func() bool { return len(g.leader().Status().Members) == count }, settleTimeout, tickInterval,
		"members of the group: %d expected", count)
}

// TestDeadVotersDoNotAddUp exchanges all instances one after the other, each successor joining before its forerunner
// is found dead. Were the dead kept, the second loss would end the quorum (deploy/days/control-exchanged.toml).
func TestDeadVotersDoNotAddUp(t *testing.T) {
	g := startOpenGroup(t, 3, 3)
	version := g.accept("first", 0)
	for i, name := range []string{"c3", "c4", "c5"} {
		g.join(name)
		g.awaitVoters()
		g.drop(0)
		g.awaitMembers(3)
		version = g.accept(name, version)
		require.Equal(t, uint64(i+2), version)
	}
	g.awaitVoters()
}

// TestCutOffVoterJoinsAgain cuts a voter off until a newcomer has taken its place; the cut ends and it votes again.
func TestCutOffVoterJoinsAgain(t *testing.T) {
	g := startOpenGroup(t, 4, 3)
	version := g.accept("first", 0)
	away := g.instances[0]
	for _, other := range []string{"c1", "c2", "c3"} {
		g.network.cut(away.name, other)
		g.network.cut(other, away.name)
	}
	g.instances = g.instances[1:]
	g.join("c3")
	g.awaitVoters()
	g.awaitMembers(3)
	version = g.accept("second", version)
	g.network.heal()
	g.instances = append(g.instances, away)
	g.awaitVoters()
	g.awaitMembers(4)
	g.accept("third", version)
	_, machine := away.running()
	require.Eventually(t, func() bool { return machine.View().Version == 3 }, settleTimeout, tickInterval)
}
