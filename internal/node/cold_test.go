package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// TestHeartbeatsTellOfColdness plays the heartbeats of one backend server: cold after its start, then warm, then cold again. The
// record changes once per coldness, and a delayed word does not end one.
func TestHeartbeatsTellOfColdness(t *testing.T) {
	n := &Node{}
	start := time.UnixMilli(1_700_000_000_000)
	var before *apiv1.BackendServer
	changes := 0
	beat := func(after time.Duration, incarnation uint64, coldMs uint32) {
		server := &apiv1.BackendServer{Instance: "a", Incarnation: incarnation, ColdMs: coldMs}
		n.noteCold(before, server, start.Add(after))
		if before == nil || before.ColdMs != server.ColdMs || before.Incarnation != incarnation {
			changes++
		}
		before = server
	}
	cold := func(after time.Duration) bool { return start.Add(after).Before(n.coldUntil) }

	beat(0, 1, 3000)
	beat(1500*time.Millisecond, 1, 1600)
	require.Equal(t, 1, changes)
	beat(2*time.Second, 1, 0)
	require.True(t, cold(2*time.Second), "a word that was delayed")
	beat(4*time.Second, 1, 0)
	require.False(t, cold(4*time.Second))
	require.Equal(t, 1, changes, "the end of a coldness needs no record")

	beat(9*time.Second, 1, 3000)
	require.True(t, cold(11*time.Second), "cold again without a start")
	require.Equal(t, 2, changes)
	beat(10500*time.Millisecond, 1, 1500)
	require.Equal(t, 2, changes)

	beat(11*time.Second, 2, 0)
	require.False(t, cold(11*time.Second), "another start says so itself")
	require.Equal(t, 3, changes)
}
