package hostile_test

import (
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// kindNamed returns a kind of a list.
func kindNamed(list []kind, name string) kind {
	for _, k := range list {
		if k.name == name {
			return k
		}
	}
	panic("no kind is named " + name)
}

// TestCrowdsInWaves lets crowds come again at once, on connections opened anew.
func TestCrowdsInWaves(t *testing.T) {
	const waves = 4
	for _, c := range []struct {
		assault
		short bool
	}{
		{assault{placeNamed("route"), unreadKinds[0]}, false},
		{assault{placeNamed("route"), unreadKinds[2]}, true},
		{assault{placeNamed("route at another node"), unreadKinds[2]}, false},
		{assault{placeNamed("gate"), gateUnreadKinds()[2]}, false},
		{assault{placeNamed("route"), kindNamed(kinds, "many short fields")}, false},
		{assault{placeNamed("operators"), kindNamed(kinds, "large body stops short")}, true},
		{assault{placeNamed("operators"), kindNamed(http2Kinds, "HTTP/2 very many fields")}, false},
		{assault{placeNamed("readiness"), kindNamed(http2Kinds, "HTTP/2 responses never read")}, false},
	} {
		t.Run(c.place.name+"/"+c.kind.name, func(t *testing.T) {
			skipUnlessProving(t, c.short)
			startDeployment(t, manyFds).withstand(waves, c.assault)
		})
	}
}

// TestCrowdsAtSeveralAddresses lets crowds of different kinds come to several addresses of one process at the same time.
func TestCrowdsAtSeveralAddresses(t *testing.T) {
	for _, c := range []struct {
		short    bool
		assaults []assault
	}{
		{true, []assault{{placeNamed("route"), unreadKinds[0]}, {placeNamed("gate"), gateUnreadKinds()[2]}}},
		{false, []assault{{placeNamed("route"), unreadKinds[2]}, {placeNamed("readiness"), kindNamed(http2Kinds, "HTTP/2 responses never read")}}},
		{false, []assault{{placeNamed("route"), kindNamed(kinds, "many short fields")}, {placeNamed("announcements"), kindNamed(kinds, "body in one piece stops short")}}},
		{true, []assault{
			{placeNamed("route"), unreadKinds[2]}, {placeNamed("gate"), gateUnreadKinds()[1]},
			{placeNamed("node's port for other instances"), kindNamed(http2Kinds, "HTTP/2 very many fields")},
		}},
		{false, []assault{{placeNamed("operators"), kindNamed(kinds, "large body stops short")}, {placeNamed("operators"), kindNamed(http2Kinds, "HTTP/2 very many fields")}}},
	} {
		var names []string
		for _, a := range c.assaults {
			names = append(names, a.place.name+", "+a.kind.name)
		}
		t.Run(strings.Join(names, " and "), func(t *testing.T) {
			skipUnlessProving(t, c.short)
			startDeployment(t, manyFds).withstand(1, c.assaults...)
		})
	}
}

// TestCrowdBeforeTheFirstConfiguration lets crowds come to processes that have just started. They get their first configuration
// and serve calls while the crowds stay.
func TestCrowdBeforeTheFirstConfiguration(t *testing.T) {
	d := startInstances(t, manyFds)
	assaults := []assault{
		{placeNamed("route"), unreadKinds[2]},
		{placeNamed("readiness"), kindNamed(http2Kinds, "HTTP/2 responses never read")},
		{placeNamed("operators"), kindNamed(kinds, "large body stops short")},
	}
	for _, i := range []int{attackedNode, controlInstance} {
		require.True(t, d.waitFor(func() bool { return call("GET", addrOf(i, controlPort), "/", "") != 0 }), "the addresses are open")
	}
	g := d.watch()
	crowds := startCrowds(assaults)
	d.configure()
	g.endServed(crowds, assaults)
}

// TestCrowdAtAStoppingNode lets a crowd be there, and another one come, while a node is stopped. It ends by itself, and until
// then keeps within its memory.
func TestCrowdAtAStoppingNode(t *testing.T) {
	for _, k := range []kind{unreadKinds[0], kindNamed(kinds, "slow body")} {
		t.Run(k.name, func(t *testing.T) {
			skipUnlessProving(t, k.short)
			d := startDeployment(t, manyFds)
			attacked := d.processes[attackedNode]
			delete(d.processes, attackedNode)
			stopped := &deployment{t: t, maxFds: d.maxFds, processes: map[int]*process{attackedNode: attacked}}
			g := stopped.watch()
			assaults := []assault{{placeNamed("route"), k}}
			crowds := startCrowds(assaults)
			require.NoError(t, attacked.command.Process.Signal(syscall.SIGTERM))
			crowds = append(crowds, startCrowds(assaults)...)
			ended := d.waitFor(func() bool { return !attacked.alive() })
			dismissAll(crowds)
			d.processes[attackedNode] = attacked
			g.check()
			require.True(t, ended, "the node ends")
			require.True(t, attacked.command.ProcessState.Success(), "the node ends by itself: %s", attacked.command.ProcessState)
		})
	}
}
