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
	require.Equal(t, seq, table.Seq(), "a change of the load is not visible to readers")
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

func TestReaderBehindPurgedLeasesGetsTheFullList(t *testing.T) {
	table := NewTable("home")
	table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 1}), start)
	table.Renew(renew(&apiv1.BackendServer{Instance: "b", Incarnation: 1}), start)
	seq := table.Seq()
	table.Expire(start.Add(LeaseTime + 1))
	table.Expire(start.Add(LeaseTime + 2*tombstoneRetention))
	update := table.Since(seq, nil)
	require.True(t, update.Full, "the tombstones are purged, so a list of changes could not name the removed servers")
	require.Empty(t, update.Servers)
}

// nodeRenewal returns the renewal of a node and its backend server.
func nodeRenewal(incarnation, revision uint64) *apiv1.RenewRequest {
	return &apiv1.RenewRequest{
		Node:    &apiv1.NodeInfo{Instance: "n", Incarnation: incarnation, Revision: revision},
		Servers: []*apiv1.BackendServer{{Instance: "s", Node: "n", Service: "rota", Addr: "1", Incarnation: 1, Revision: revision}},
	}
}

// mergeAll merges all records of one table into another.
func mergeAll(from, to *Table, now time.Time) {
	changes := from.ChangesFor("", 0)
	to.Merge(changes.Nodes, changes.Servers, now)
}

func TestNodeRefutesItsEndDeclaredByAnotherTable(t *testing.T) {
	home, other := NewTable("home"), NewTable("other")
	require.Zero(t, home.Renew(nodeRenewal(1, 1), start))
	mergeAll(home, other, start)
	other.RecordContact("home", start)
	late := start.Add(HomeTimeout + LeaseTime)
	overdue := other.OverdueNodes(late)
	require.Len(t, overdue, 1, "contact with the home is lost")
	other.EndNode(overdue[0], late)
	require.Empty(t, other.Servers())
	require.Zero(t, home.Renew(nodeRenewal(1, 1), late), "the node renews at home")
	mergeAll(other, home, late)
	require.Len(t, home.Servers(), 1, "the home ignores the end of a node that still renews")
	require.EqualValues(t, 1, home.Renew(nodeRenewal(1, 1), late), "the node is asked to refute it")
	require.Zero(t, home.Renew(nodeRenewal(1, 2), late))
	mergeAll(home, other, late)
	require.Len(t, other.Servers(), 1)
	require.Equal(t, home.HomeDigest("home"), other.HomeDigest("home"))
}

func TestReachedNodeKeepsItsLease(t *testing.T) {
	table := NewTable("home")
	table.Renew(nodeRenewal(1, 1), start)
	late := start.Add(LeaseTime + 1)
	overdue := table.OverdueNodes(late)
	require.Len(t, overdue, 1)
	table.Expire(late)
	require.Len(t, table.Servers(), 1, "the backend server keeps its lease until its node was probed")
	table.Extend(overdue[0], late)
	require.Empty(t, table.OverdueNodes(late))
	later := late.Add(LeaseTime + 1)
	table.EndNode(table.OverdueNodes(later)[0], later)
	require.Empty(t, table.Servers())
}

// TestReconcileEndsLeasePurgedDuringPartition ends the lease of a backend server while another table is partitioned for
// longer than tombstones are kept. That table sees no tombstone afterwards and must end the lease by reconciliation.
func TestReconcileEndsLeasePurgedDuringPartition(t *testing.T) {
	home, partitioned := NewTable("home"), NewTable("cut")
	home.Renew(nodeRenewal(1, 1), start)
	mergeAll(home, partitioned, start)
	home.EndNode(home.OverdueNodes(start.Add(LeaseTime + 1))[0], start.Add(LeaseTime+1))
	healed := start.Add(2 * tombstoneRetention)
	home.Expire(healed)
	changes := home.ChangesFor("", 1)
	require.True(t, changes.Full)
	mergeAll(home, partitioned, healed)
	partitioned.Reconcile(changes.Servers, healed)
	require.Empty(t, partitioned.Servers())
	home.Renew(nodeRenewal(1, 1), healed)
	mergeAll(home, partitioned, healed)
	require.Len(t, partitioned.Servers(), 1, "the same record restores it")
}

func TestLeavingNodeEndsItsLeasesInOtherTables(t *testing.T) {
	home, other := NewTable("home"), NewTable("other")
	home.Renew(nodeRenewal(1, 1), start)
	mergeAll(home, other, start)
	leaving := nodeRenewal(1, 2)
	leaving.Leaving = true
	home.Renew(leaving, start)
	mergeAll(home, other, start)
	require.Empty(t, other.Servers())
	require.Empty(t, other.Nodes())
}

func TestAddressReusedByAnotherService(t *testing.T) {
	table := NewTable("home")
	table.Renew(renew(&apiv1.BackendServer{Instance: "a", Service: "rota", Addr: "1.1.1.1:1", Incarnation: 1, StartedUnixMs: 1}), start)
	table.Renew(renew(&apiv1.BackendServer{Instance: "b", Service: "desk", Addr: "1.1.1.1:1", Incarnation: 1, StartedUnixMs: 2}), start)
	servers := table.Servers()
	require.Len(t, servers, 1, "the first service has no lease at an address that another one uses now")
	require.Equal(t, "desk", servers[0].Service)
	table.Renew(renew(&apiv1.BackendServer{Instance: "a", Service: "rota", Addr: "1.1.1.1:1", Incarnation: 1, Revision: 1, StartedUnixMs: 1}), start)
	require.Equal(t, servers, table.Servers(), "a late renewal of the first one does not win the address back")
}

// TestMergeOrderDoesNotMatter merges the same records into two tables, into the second in another order and each record
// twice. Both tables must end up equal.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []*apiv1.BackendServer
		for range rapid.IntRange(1, 12).Draw(t, "words") {
			records = append(records, drawServer(t))
		}
		order := rapid.Permutation(append(records, records...)).Draw(t, "order")
		a, b := NewTable("a"), NewTable("b")
		for _, record := range records {
			a.Merge(nil, []*apiv1.BackendServer{record}, start)
		}
		for _, record := range order {
			b.Merge(nil, []*apiv1.BackendServer{record}, start)
		}
		require.Equal(t, encodings(a.Servers()), encodings(b.Servers()))
	})
}

// drawServer draws a record whose content, apart from its state, is determined by its instance, incarnation and
// revision, as in the announcements of one node.
func drawServer(t *rapid.T) *apiv1.BackendServer {
	server := &apiv1.BackendServer{
		Instance:    fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "instance")),
		Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		Revision:    uint64(rapid.IntRange(1, 3).Draw(t, "revision")),
		State:       apiv1.ServerState_SERVER_STATE_READY,
	}
	server.Leaving = rapid.Bool().Draw(t, "leaving")
	server.DrainOrder = uint64(rapid.IntRange(0, 2).Draw(t, "drainOrder"))
	server.Version = fmt.Sprintf("v%d.%d", server.Incarnation, server.Revision)
	server.Addr = server.Instance
	if rapid.Bool().Draw(t, "gone") {
		server.State = apiv1.ServerState_SERVER_STATE_GONE
	}
	return server
}

func encodings(servers []*apiv1.BackendServer) []string {
	var list []string
	for _, server := range servers {
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(server)
		list = append(list, string(data))
	}
	return list
}

// TestRestartedNodeDoesNotUndoAnAnnouncedEnd guards against a backend server that gets work again after it was acknowledged
// that it leaves: its node has restarted, takes a late heartbeat for the newest and announces it under a higher revision.
func TestRestartedNodeDoesNotUndoAnAnnouncedEnd(t *testing.T) {
	announce := func(table *Table, server *apiv1.BackendServer, at time.Time) []*apiv1.BackendServer {
		server.Instance, server.Node, server.Addr, server.Incarnation = "s", "n", "1.1.1.1:1", 7
		request := renew(server)
		require.Zero(t, table.Renew(request, at), "a node without knowledge of overruling records has nothing to refute")
		return table.Overruling(request)
	}
	ready, draining := apiv1.ServerState_SERVER_STATE_READY, apiv1.ServerState_SERVER_STATE_DRAINING
	for _, c := range []struct {
		name  string
		known *apiv1.BackendServer
	}{
		{"withdrawn", &apiv1.BackendServer{State: draining, Leaving: true, Revision: 2}},
		{"drained by an operator", &apiv1.BackendServer{State: draining, DrainOrder: 2, DrainOrdered: true, Revision: 2}},
	} {
		for _, leaseEnded := range []bool{false, true} {
			home, other := NewTable("home"), NewTable("other")
			require.Empty(t, announce(home, &apiv1.BackendServer{State: ready, Revision: 1}, start))
			require.Empty(t, announce(home, c.known, start))
			mergeAll(home, other, start)
			now := start
			if leaseEnded {
				now = start.Add(LeaseTime + 1)
				home.Expire(now)
			}
			for _, table := range []*Table{home, other} {
				overruling := announce(table, &apiv1.BackendServer{State: ready, Revision: 9}, now)
				require.Len(t, overruling, 1, c.name)
				require.Equal(t, c.known.Leaving, overruling[0].Leaving)
				for _, server := range table.Since(0, nil).Servers {
					require.Equal(t, draining, server.State, c.name)
				}
			}
			mergeAll(other, home, now)
			for _, server := range home.Servers() {
				require.Equal(t, draining, server.State, c.name)
			}
			require.Empty(t, announce(home, &apiv1.BackendServer{
				State: draining, Leaving: c.known.Leaving, DrainOrder: c.known.DrainOrder, DrainOrdered: c.known.DrainOrdered, Revision: 10,
			}, now), "a node that has learned of it is accepted")
		}
	}
}

// TestUndoneDrainAndNextIncarnationAreInService checks that only the end of the same incarnation and only the newest order
// count.
func TestUndoneDrainAndNextIncarnationAreInService(t *testing.T) {
	table := NewTable("home")
	server := func(incarnation, revision, order uint64) *apiv1.BackendServer {
		return &apiv1.BackendServer{Instance: "s", Incarnation: incarnation, Revision: revision, DrainOrder: order, State: apiv1.ServerState_SERVER_STATE_READY}
	}
	drained := server(1, 1, 1)
	drained.DrainOrdered, drained.State = true, apiv1.ServerState_SERVER_STATE_DRAINING
	table.Renew(renew(drained), start)
	table.Renew(renew(server(1, 2, 2)), start)
	require.Equal(t, apiv1.ServerState_SERVER_STATE_READY, table.Servers()[0].State, "the order was undone")
	withdrawn := server(1, 3, 2)
	withdrawn.Leaving, withdrawn.State = true, apiv1.ServerState_SERVER_STATE_DRAINING
	table.Renew(renew(withdrawn), start)
	table.Renew(renew(server(2, 4, 0)), start)
	require.Equal(t, apiv1.ServerState_SERVER_STATE_READY, table.Servers()[0].State, "the next incarnation is in service")
}

// TestWithdrawalByInstanceAlone covers a node that has restarted and hears of its backend server only that it leaves.
func TestWithdrawalByInstanceAlone(t *testing.T) {
	table := NewTable("home")
	table.Renew(nodeRenewal(1, 1), start)
	request := &apiv1.RenewRequest{Node: &apiv1.NodeInfo{Instance: "n", Incarnation: 2, Revision: 2}, LeavingServers: []string{"s", "unknown"}}
	table.Renew(request, start)
	require.Equal(t, apiv1.ServerState_SERVER_STATE_DRAINING, table.Servers()[0].State)
	require.Len(t, table.Overruling(request), 1, "the node learns which incarnation leaves")

	restarted := NewTable("home")
	restarted.Remember(table.Drains(), start)
	late := nodeRenewal(3, 3)
	restarted.Renew(late, start)
	require.Empty(t, restarted.Servers(), "a control instance that has restarted remembers it")
	require.Len(t, restarted.Overruling(late), 1)
}

// TestOddRecordsKeepOutNoOthers guards against a reader that stops following the list because of one record in it.
func TestOddRecordsKeepOutNoOthers(t *testing.T) {
	good := &apiv1.BackendServer{Instance: "a", Service: "rota", Addr: "10.0.0.1:80", State: apiv1.ServerState_SERVER_STATE_READY}
	odd := []*apiv1.BackendServer{{}, {Instance: "b", Addr: "10.0.0.1:70000"}, {Instance: "c", Addr: "10.0.0.1:80", Slots: 1 << 31}}
	directory := NewDirectory()
	invalid := directory.Apply(&apiv1.MembersUpdate{Seq: 7, Full: true, Servers: append(odd, good)})
	require.Len(t, invalid, len(odd))
	require.Equal(t, []*apiv1.BackendServer{good}, directory.Servers())
	_, seq := directory.Position()
	require.EqualValues(t, 7, seq, "the reader goes on from the newest change")
	broken := proto.Clone(good).(*apiv1.BackendServer)
	broken.Addr = "nowhere"
	require.Len(t, directory.Apply(&apiv1.MembersUpdate{Seq: 8, Servers: []*apiv1.BackendServer{broken}}), 1)
	require.Empty(t, directory.Servers(), "an instance whose newest record is odd is not used")
}
