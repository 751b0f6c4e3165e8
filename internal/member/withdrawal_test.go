package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

// startedAt returns the record of a backend server beside node n that started at a time.
func startedAt(started time.Time) *apiv1.BackendServer {
	return &apiv1.BackendServer{
		Instance: "s", Node: "n", Addr: "1", Incarnation: uint64(started.UnixMilli()), StartedUnixMs: started.UnixMilli(), Revision: 5,
		State: apiv1.ServerState_SERVER_STATE_READY,
	}
}

// renewed returns the record that the table keeps after the node has renewed the lease.
func renewed(table *Table, server *apiv1.BackendServer, now time.Time) *apiv1.BackendServer {
	table.Renew(renew(proto.Clone(server).(*apiv1.BackendServer)), now)
	return table.servers.leases["s"].record
}

// TestWithdrawalCoversStartsThatNobodyHasHeardOf guards against a withdrawal that is stored and has no effect, because it came before
// the first heartbeat of its backend server.
func TestWithdrawalCoversStartsThatNobodyHasHeardOf(t *testing.T) {
	for name, receive := range map[string]func(*Table, *apiv1.BackendServer){
		"stored":     func(table *Table, w *apiv1.BackendServer) { table.StoreDrain(w, start) },
		"renewed":    func(table *Table, w *apiv1.BackendServer) { table.Renew(renew(w), start) },
		"merged":     func(table *Table, w *apiv1.BackendServer) { table.Merge(nil, []*apiv1.BackendServer{w}, start) },
		"remembered": func(table *Table, w *apiv1.BackendServer) { table.Remember([]*apiv1.BackendServer{w}, start) },
	} {
		table := NewTable("home")
		receive(table, NewWithdrawal("s", "n", start))
		require.Len(t, table.Drains(), 1, name)
		require.Empty(t, table.Servers(), name)
		late := startedAt(start.Add(-time.Second))
		require.True(t, renewed(table, late, start).Leaving, name)
		require.Len(t, table.Overruling(renew(late)), 1, "%s: the node learns it", name)
		require.True(t, table.servers.leases["s"].record.Leaving, name)

		next := startedAt(start.Add(time.Second))
		require.False(t, renewed(table, next, start).Leaving, "%s: the next start is in service", name)
	}
}

// TestWithdrawalMarksTheKnownStart: a start that the table knows leaves at once, and stays so after the withdrawal has expired.
func TestWithdrawalMarksTheKnownStart(t *testing.T) {
	table := NewTable("home")
	known := startedAt(start.Add(-time.Hour))
	require.False(t, renewed(table, known, start).Leaving)
	table.StoreDrain(NewWithdrawal("s", "n", start), start)
	require.Equal(t, apiv1.ServerState_SERVER_STATE_DRAINING, table.Servers()[0].State)
	later := start.Add(withdrawalRetention + time.Second)
	table.Expire(later)
	require.Empty(t, table.withdrawals)
	require.True(t, renewed(table, known, later).Leaving)
}

// TestWithdrawalIsOfTheNodeBesideIt guards against a node that withdraws the backend servers of others.
func TestWithdrawalIsOfTheNodeBesideIt(t *testing.T) {
	table := NewTable("home")
	server := startedAt(start.Add(-time.Hour))
	require.False(t, renewed(table, server, start).Leaving)
	table.StoreDrain(NewWithdrawal("s", "other", start), start)
	require.False(t, table.Servers()[0].Leaving)
	require.False(t, renewed(table, server, start).Leaving)
}

// TestClockOfTheNodeBehindItsBackendServer: the withdrawal counts from the later of the clocks of the node and of the control instance.
func TestClockOfTheNodeBehindItsBackendServer(t *testing.T) {
	table := NewTable("home")
	table.StoreDrain(NewWithdrawal("s", "n", start.Add(-15*time.Minute)), start)
	require.True(t, renewed(table, startedAt(start.Add(-time.Minute)), start).Leaving)
}

// TestNodeIsToldWhatOthersKnow guards against a node whose short renewals are accepted although another process knew that its backend
// server leaves: the node would take calls for it as long as nothing else changes.
func TestNodeIsToldWhatOthersKnow(t *testing.T) {
	for name, learn := range map[string]func(*Table, *apiv1.BackendServer){
		"a withdrawal": func(table *Table, _ *apiv1.BackendServer) {
			table.Merge(nil, []*apiv1.BackendServer{NewWithdrawal("s", "n", start)}, start)
		},
		"a record of its end": func(table *Table, known *apiv1.BackendServer) {
			table.Merge(nil, []*apiv1.BackendServer{LeavingRecord(known)}, start)
		},
		"a stored record": func(table *Table, known *apiv1.BackendServer) { table.StoreDrain(LeavingRecord(known), start) },
	} {
		table := NewTable("home")
		server := startedAt(start.Add(-time.Minute))
		node := &apiv1.NodeInfo{Instance: "n", Incarnation: 1, Revision: 5}
		whole := func() *apiv1.RenewRequest {
			return &apiv1.RenewRequest{Node: proto.Clone(node).(*apiv1.NodeInfo), Servers: []*apiv1.BackendServer{proto.Clone(server).(*apiv1.BackendServer)}}
		}
		short := &apiv1.RenewRequest{Node: node, Unchanged: true, UnchangedServers: []string{"s"}}
		table.Renew(whole(), start)
		require.True(t, table.RenewUnchanged(short, start), name)
		learn(table, table.servers.leases["s"].record)
		require.False(t, table.RenewUnchanged(short, start), "%s: the node must send its whole record", name)
		request := whole()
		table.Renew(request, start)
		require.Len(t, table.Overruling(request), 1, name)

		server = LeavingRecord(server)
		server.Revision++
		node.Revision++
		table.Renew(whole(), start)
		require.True(t, table.RenewUnchanged(short, start), "%s: then it has learned it", name)
	}
}

// TestHomeWithAnEmptyDiskGetsItsDrainsBack guards against a home that accepts a late heartbeat because the others take its own records
// for known to it.
func TestHomeWithAnEmptyDiskGetsItsDrainsBack(t *testing.T) {
	home, other := NewTable("home"), NewTable("other")
	leaving := LeavingRecord(startedAt(start.Add(-time.Minute)))
	home.Renew(renew(proto.Clone(leaving).(*apiv1.BackendServer)), start)
	home.Renew(renew(NewWithdrawal("t", "n", start)), start)
	other.Merge(nil, home.ChangesAt("home", 0).Servers, start)
	wiped := NewTable("home")
	full := other.ChangesFor("home", 0)
	require.True(t, full.Full)
	wiped.Merge(nil, full.Servers, start)
	require.Len(t, wiped.Drains(), 2)
	require.True(t, renewed(wiped, startedAt(start.Add(-time.Minute)), start).Leaving)
	require.Empty(t, other.ChangesFor("home", full.Seq).Servers, "and nothing again")
}

// TestHolderHandsDrainsOn guards against a record that only its holders have, because the home of the leases has failed before it has
// sent it to the others.
func TestHolderHandsDrainsOn(t *testing.T) {
	holder := NewTable("holder")
	holder.Merge(nil, []*apiv1.BackendServer{startedAt(start.Add(-time.Minute))}, start)
	seq := holder.SyncSeq()
	require.Empty(t, holder.ChangesAt("holder", seq).Servers)
	holder.StoreDrain(LeavingRecord(startedAt(start.Add(-time.Minute))), start)
	holder.StoreDrain(NewWithdrawal("t", "n", start), start)
	require.Len(t, holder.ChangesAt("holder", seq).Servers, 2)
	restarted := NewTable("holder")
	restarted.Remember(holder.Drains(), start)
	require.Len(t, restarted.ChangesAt("holder", 0).Servers, 2)
}

// TestReconcileTakesNoWithdrawalForALease: a full list with a withdrawal does not keep the lease of that name.
func TestReconcileTakesNoWithdrawalForALease(t *testing.T) {
	table := NewTable("home")
	record := startedAt(start.Add(time.Minute))
	record.Home = "gone"
	table.Merge(nil, []*apiv1.BackendServer{record}, start)
	require.Len(t, table.Servers(), 1)
	table.Reconcile([]*apiv1.BackendServer{NewWithdrawal("s", "n", start)}, start.Add(HomeTimeout+time.Second))
	require.Empty(t, table.Servers())
}

// TestOrderOfWithdrawalsDoesNotMatter merges records and withdrawals in two orders, some of them twice.
func TestOrderOfWithdrawalsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []*apiv1.BackendServer
		for range rapid.IntRange(1, 8).Draw(t, "records") {
			at := start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "at")) * time.Second)
			if rapid.Bool().Draw(t, "withdrawal") {
				records = append(records, NewWithdrawal("s", "n", at))
				continue
			}
			server := startedAt(at)
			server.Revision = uint64(rapid.IntRange(1, 3).Draw(t, "revision"))
			records = append(records, server)
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
