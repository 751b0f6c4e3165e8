package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLateHeartbeatsAreIgnored lists heartbeats that may arrive after heartbeat 5 of incarnation 1000 of "a". A delayed
// heartbeat must not replace a newer announcement.
func TestLateHeartbeatsAreIgnored(t *testing.T) {
	for _, c := range []struct {
		name        string
		instance    string
		incarnation uint64
		sequence    uint64
		withdrawn   bool
		want        bool
	}{
		{"the next heartbeat", "a", 1000, 6, false, true},
		{"a duplicate", "a", 1000, 5, false, false},
		{"a delayed heartbeat", "a", 1000, 3, false, false},
		{"a sender without sequence numbers", "a", 1000, 0, false, true},
		{"a later incarnation of the instance", "a", 2000, 1, false, true},
		{"an earlier incarnation of the instance", "a", 900, 9, false, false},
		{"a new instance at the address", "b", 2000, 1, false, true},
		{"the previous instance, which has stopped", "z", 900, 9, false, false},
		{"a heartbeat delayed until after the withdrawal", "a", 1000, 6, true, false},
		{"a later incarnation after the withdrawal", "a", 2000, 1, true, true},
	} {
		last := heartbeat{instance: "a", incarnation: 1000, sequence: 5, withdrawn: c.withdrawn}
		require.Equal(t, c.want, last.supersededBy(c.instance, c.incarnation, c.sequence), c.name)
	}
}
