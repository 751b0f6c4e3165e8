package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

func TestNodeServesOnlyFromTheFloorOn(t *testing.T) {
	floor := uint64(7)
	a := applier{}
	require.NoError(t, a.checkFloor(), "the floor is not known")
	a.current = &apiv1.Snapshot{Version: 9}
	require.False(t, a.mayServe(), "a newer version may have been applied before the restart")
	a.floor = &floor
	require.True(t, a.mayServe())
	a.current = &apiv1.Snapshot{Version: 6}
	require.False(t, a.mayServe())
	require.ErrorIs(t, a.checkFloor(), ErrStaleSnapshot)
}
