package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move/local"
	"samphireflow/internal/outcome"
	"samphireflow/internal/routing"
)

func movingTable() *routing.Table {
	snap := &apiv1.Snapshot{FailureDomain: "hobart", Services: []*apiv1.ServiceConfig{{
		Name: "rota", MoveId: "m", Shares: []*apiv1.VersionShare{{Version: "v2", ShareBp: 500}, {Version: "v1", ShareBp: 9500}},
	}}}
	var servers []*apiv1.BackendServer
	for _, version := range []string{"v1", "v2"} {
		servers = append(servers, &apiv1.BackendServer{
			Instance: version, Service: "rota", Version: version, FailureDomain: "hobart", State: apiv1.ServerState_SERVER_STATE_READY,
		})
	}
	return routing.Build(snap, servers, routing.NewRegistry())
}

// The share goes to none on the recorded outcomes, stays so for a newer table, and comes from the new table after that.
func TestGuardTakesTheShareFromAFailingVersion(t *testing.T) {
	var table atomic.Pointer[routing.Table]
	table.Store(movingTable())
	g := &guarded{guard: local.NewGuard()}
	recorder := &Recorder{Sum: outcome.NewSum("hobart"), guard: g.guard, table: &table}
	require.Equal(t, uint32(500), g.limit(table.Load()).Service("rota").Versions[0].ShareBp)

	for range 60 {
		recorder.Record("rota", "v2", "lookup", false, false, time.Millisecond)
		recorder.Record("rota", "v1", "lookup", true, false, time.Millisecond)
	}
	require.Eventually(t, func() bool {
		return g.refresh(table.Load()).Service("rota").Versions[0].ShareBp == 0
	}, 10*time.Second, 10*time.Millisecond)
	require.Zero(t, g.limit(table.Load()).Service("rota").Versions[0].ShareBp)
	table.Store(movingTable())
	require.Zero(t, g.limit(table.Load()).Service("rota").Versions[0].ShareBp)
}
