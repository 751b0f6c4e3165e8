package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

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

// TestNodeIsToldWhatOthersKnow guards against a node whose short renewals are accepted although another process knew that its backend
// server leaves: the node would take calls for it as long as nothing else changes.
func TestNodeIsToldWhatOthersKnow(t *testing.T) {
	for name, learn := range map[string]func(*Table, *apiv1.BackendServer){
		"a record of its end": func(table *Table, known *apiv1.BackendServer) {
			table.Merge(nil, []*apiv1.BackendServer{LeavingRecord(known)}, start)
		},
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
	other.Merge(nil, home.ChangesAt("home", 0).Servers, start)
	wiped := NewTable("home")
	full := other.ChangesFor("home", 0)
	require.True(t, full.Full)
	wiped.Merge(nil, full.Servers, start)
	require.Len(t, wiped.Drains(), 1)
	require.True(t, renewed(wiped, startedAt(start.Add(-time.Minute)), start).Leaving)
	require.Empty(t, other.ChangesFor("home", full.Seq).Servers, "and nothing again")
}
