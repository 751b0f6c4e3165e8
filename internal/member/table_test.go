package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

var start = time.Unix(1000, 0)

func renew(server *apiv1.BackendServer) *apiv1.RenewRequest {
	return &apiv1.RenewRequest{Servers: []*apiv1.BackendServer{server}}
}

func TestTableLeases(t *testing.T) {
	now := start
	table := NewTable("home")
	require.Zero(t, table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 2, Revision: 1}), now))
	seq := table.Seq()
	table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 2, Revision: 2, InFlight: 5}), now)
	require.Equal(t, seq, table.Seq(), "load is not a change")
	table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 1, Revision: 9, Service: "other"}), now)
	require.Equal(t, seq, table.Seq(), "an older incarnation is ignored")
	table.Expire(now.Add(LeaseTime - 1))
	require.Equal(t, seq, table.Seq())
	table.Expire(now.Add(LeaseTime + 1))
	require.Equal(t, []string{"a"}, table.Since(seq, nil).Removed)
	require.Empty(t, table.Servers())
	require.Zero(t, table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 3, Revision: 1}), now))
	require.Len(t, table.Servers(), 1)
}

func TestReaderOlderThanWhatIsRememberedGetsTheWholeList(t *testing.T) {
	table := NewTable("home")
	table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 1}), start)
	table.Renew(renew(&apiv1.BackendServer{Instance: "b", Incarnation: 1}), start)
	seq := table.Seq()
	table.Expire(start.Add(LeaseTime + 1))
	table.Expire(start.Add(LeaseTime + 2*goneMemory))
	update := table.Since(seq, nil)
	require.True(t, update.Full, "the ends are forgotten, so that a list of changes could not name them")
	require.Empty(t, update.Servers)
}

// nodeWith returns the renewal of a node and the backend server beside it.
func nodeWith(incarnation, revision uint64) *apiv1.RenewRequest {
	return &apiv1.RenewRequest{
		Node:    &apiv1.NodeInfo{Instance: "n", Incarnation: incarnation, Revision: revision},
		Servers: []*apiv1.BackendServer{{Instance: "s", Node: "n", Service: "rota", Addr: "1", Incarnation: 1, Revision: revision}},
	}
}

// tell passes all records of one table to another.
func tell(from, to *Table, now time.Time) {
	nodes, servers, _ := from.Changes(0, "")
	to.Merge(nodes, servers, now)
}

func TestNodeTakenForDeadByAnotherRefutesIt(t *testing.T) {
	home, other := NewTable("home"), NewTable("other")
	require.Zero(t, home.Renew(nodeWith(1, 1), start))
	tell(home, other, start)
	other.Hear("home", start)
	late := start.Add(HomeTime + LeaseTime)
	overdue := other.OverdueNodes(late)
	require.Len(t, overdue, 1, "the home is silent")
	other.EndNode(overdue[0], late)
	require.Empty(t, other.Servers())
	require.Zero(t, home.Renew(nodeWith(1, 1), late), "the node renews at home")
	tell(other, home, late)
	require.Len(t, home.Servers(), 1, "the home does not believe that a node which renews has gone")
	require.EqualValues(t, 1, home.Renew(nodeWith(1, 1), late), "the node is asked to refute it")
	require.Zero(t, home.Renew(nodeWith(1, 2), late))
	tell(home, other, late)
	require.Len(t, other.Servers(), 1)
	require.Equal(t, home.HomeDigest("home"), other.HomeDigest("home"))
}

func TestSlowNodeKeepsItsLease(t *testing.T) {
	table := NewTable("home")
	table.Renew(nodeWith(1, 1), start)
	late := start.Add(LeaseTime + 1)
	overdue := table.OverdueNodes(late)
	require.Len(t, overdue, 1)
	table.Expire(late)
	require.Len(t, table.Servers(), 1, "whether the backend server has gone is not known before its node was probed")
	table.Extend(overdue[0], late)
	require.Empty(t, table.OverdueNodes(late))
	later := late.Add(LeaseTime + 1)
	table.EndNode(table.OverdueNodes(later)[0], later)
	require.Empty(t, table.Servers())
}

// TestEndForgottenDuringACut lets a backend server end while a table is cut off, for longer than ends are remembered.
func TestEndForgottenDuringACut(t *testing.T) {
	home, cut := NewTable("home"), NewTable("cut")
	home.Renew(nodeWith(1, 1), start)
	tell(home, cut, start)
	home.EndNode(home.OverdueNodes(start.Add(LeaseTime + 1))[0], start.Add(LeaseTime+1))
	healed := start.Add(2 * goneMemory)
	home.Expire(healed)
	_, servers, full := home.Changes(1, "")
	require.True(t, full)
	tell(home, cut, healed)
	cut.Reconcile(servers, healed)
	require.Empty(t, cut.Servers())
	home.Renew(nodeWith(1, 1), healed)
	tell(home, cut, healed)
	require.Len(t, cut.Servers(), 1, "the same word brings it back")
}

func TestLeavingIsToldAtOnce(t *testing.T) {
	home, other := NewTable("home"), NewTable("other")
	home.Renew(nodeWith(1, 1), start)
	tell(home, other, start)
	leaving := nodeWith(1, 2)
	leaving.Leaving = true
	home.Renew(leaving, start)
	tell(home, other, start)
	require.Empty(t, other.Servers())
	require.Empty(t, other.Nodes())
}

func TestAddressTakenOverByAnotherService(t *testing.T) {
	table := NewTable("home")
	table.Renew(renew(&apiv1.BackendServer{Instance: "a", Service: "rota", Addr: "1.1.1.1:1", Incarnation: 1, StartedUnixMs: 1}), start)
	table.Renew(renew(&apiv1.BackendServer{Instance: "b", Service: "desk", Addr: "1.1.1.1:1", Incarnation: 1, StartedUnixMs: 2}), start)
	servers := table.Servers()
	require.Len(t, servers, 1, "the first service has no lease at an address that it lost")
	require.Equal(t, "desk", servers[0].Service)
	table.Renew(renew(&apiv1.BackendServer{Instance: "a", Service: "rota", Addr: "1.1.1.1:1", Incarnation: 1, Revision: 1, StartedUnixMs: 1}), start)
	require.Equal(t, servers, table.Servers(), "a late renewal of the first one does not win the address back")
}

// TestTablesThatMergedTheSameRecordsAgree tells the words of some nodes to two tables in different orders, some of
// them twice.
func TestTablesThatMergedTheSameRecordsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []*apiv1.BackendServer
		for range rapid.IntRange(1, 12).Draw(t, "words") {
			words = append(words, drawServer(t))
		}
		order := rapid.Permutation(append(words, words...)).Draw(t, "order")
		a, b := NewTable("a"), NewTable("b")
		for _, word := range words {
			a.Merge(nil, []*apiv1.BackendServer{word}, start)
		}
		for _, word := range order {
			b.Merge(nil, []*apiv1.BackendServer{word}, start)
		}
		require.Equal(t, texts(a.Servers()), texts(b.Servers()))
	})
}

// drawServer draws a word whose content follows from its incarnation and revision, as that of one node does.
func drawServer(t *rapid.T) *apiv1.BackendServer {
	server := &apiv1.BackendServer{
		Instance:    fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "instance")),
		Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		Revision:    uint64(rapid.IntRange(1, 3).Draw(t, "revision")),
		State:       apiv1.ServerState_SERVER_STATE_READY,
	}
	server.Version = fmt.Sprintf("v%d.%d", server.Incarnation, server.Revision)
	server.Addr = server.Instance
	if rapid.Bool().Draw(t, "gone") {
		server.State = apiv1.ServerState_SERVER_STATE_GONE
	}
	return server
}

func texts(servers []*apiv1.BackendServer) []string {
	var list []string
	for _, server := range servers {
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(server)
		list = append(list, string(data))
	}
	return list
}
