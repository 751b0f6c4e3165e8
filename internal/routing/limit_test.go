package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

func movingTable(share uint32, oldState apiv1.ServerState) *Table {
	snap := &apiv1.Snapshot{FailureDomain: "hobart", Services: []*apiv1.ServiceConfig{
		{Name: "rota", MoveId: "m", Shares: []*apiv1.VersionShare{{Version: "v2", ShareBp: share}, {Version: "v1", ShareBp: 10000 - share}}},
		{Name: "desk", Shares: []*apiv1.VersionShare{{Version: "v1", ShareBp: 10000}}},
	}}
	servers := []*apiv1.BackendServer{
		{Instance: "new", Service: "rota", Version: "v2", FailureDomain: "hobart", State: apiv1.ServerState_SERVER_STATE_READY},
		{Instance: "old", Service: "rota", Version: "v1", FailureDomain: "hobart", State: oldState},
	}
	return Build(snap, servers, NewRegistry())
}

func TestLimitNeverRaisesAShareAndKeepsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := uint32(rapid.IntRange(0, 10000).Draw(t, "share"))
		allowed := uint32(rapid.IntRange(0, 20000).Draw(t, "allowed"))
		table := movingTable(share, apiv1.ServerState_SERVER_STATE_READY)
		got := table.Limit(func(*apiv1.ServiceConfig, uint32) uint32 { return allowed }).Service("rota").Versions
		if got[0].ShareBp > share || got[0].ShareBp+got[1].ShareBp != 10000 {
			t.Fatalf("shares %d and %d from %d, allowed %d", got[0].ShareBp, got[1].ShareBp, share, allowed)
		}
		if table.Service("rota").Versions[0].ShareBp != share {
			t.Fatal("the table itself changed")
		}
	})
}

func TestLimitKeepsSharesWithoutReadyOldBackendServers(t *testing.T) {
	none := func(*apiv1.ServiceConfig, uint32) uint32 { return 0 }
	table := movingTable(10000, apiv1.ServerState_SERVER_STATE_GONE)
	require.Same(t, table, table.Limit(none))
	limited := movingTable(10000, apiv1.ServerState_SERVER_STATE_READY).Limit(none)
	require.Zero(t, limited.Service("rota").Versions[0].ShareBp)
	require.Equal(t, uint32(10000), limited.Service("desk").Versions[0].ShareBp)
}
