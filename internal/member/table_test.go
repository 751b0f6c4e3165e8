package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

func renew(server *apiv1.BackendServer) *apiv1.RenewRequest {
	return &apiv1.RenewRequest{Servers: []*apiv1.BackendServer{server}}
}

func TestTableLeases(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	require.True(t, table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 2}), now))
	seq := table.Seq()
	require.False(t, table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 2, InFlight: 5}), now), "load is not a change")
	require.False(t, table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 1, Service: "other"}), now), "an older incarnation is ignored")
	require.False(t, table.Expire(now.Add(LeaseTime-1)))
	require.True(t, table.Expire(now.Add(LeaseTime+1)))
	require.Equal(t, []string{"a"}, table.Since(seq, false).Removed)
	require.Empty(t, table.Servers())
	require.True(t, table.Renew(renew(&apiv1.BackendServer{Instance: "a", Incarnation: 3}), now))
	require.Len(t, table.Servers(), 1)
}
