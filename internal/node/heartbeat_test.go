package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLateHeartbeatsArePassedOver lists what may come after heartbeat 5 of the start of "a" at 1000.
func TestLateHeartbeatsArePassedOver(t *testing.T) {
	for _, c := range []struct {
		name        string
		instance    string
		incarnation uint64
		sequence    uint64
		withdrawn   bool
		want        bool
	}{
		{"the next one", "a", 1000, 6, false, true},
		{"the same again", "a", 1000, 5, false, false},
		{"one held up", "a", 1000, 3, false, false},
		{"a sender that does not count", "a", 1000, 0, false, true},
		{"a new start under the same name", "a", 2000, 1, false, true},
		{"an earlier start under the same name", "a", 900, 9, false, false},
		{"a new instance at the address", "b", 2000, 1, false, true},
		{"the dead instance before it", "z", 900, 9, false, false},
		{"one held up beyond the withdrawal", "a", 1000, 6, true, false},
		{"a new start after the withdrawal", "a", 2000, 1, true, true},
	} {
		last := heartbeat{instance: "a", incarnation: 1000, sequence: 5, withdrawn: c.withdrawn}
		require.Equal(t, c.want, last.follows(c.instance, c.incarnation, c.sequence), c.name)
	}
}
