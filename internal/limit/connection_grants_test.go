package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// holder is a node with the grants whose answers it received.
type holder struct {
	grants []grant
}

// usable returns the number of connections that the node may use.
func (h *holder) usable(now time.Time) int {
	count := 0
	for _, g := range h.grants {
		if now.Before(g.expires) {
			count = max(count, g.count)
		}
	}
	return count
}

// TestGrantedConnectionsNeverExceedCapacity guards against nodes that together hold more connections than the capacity.
// 920 nodes request grants, lose some answers and use what they were granted until it expires, while the process that
// grants restarts.
func TestGrantedConnectionsNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes, capacity = 920, 110
		now := time.Unix(1000, 0)
		grants := NewConnectionGrants(capacity)
		holders := make([]holder, nodes)
		for range rapid.IntRange(50, 1500).Draw(t, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			if rapid.IntRange(0, 9).Draw(t, "near") < 7 {
				i %= 40
			}
			h := &holders[i]
			count := grants.Request(fmt.Sprint(i), h.usable(now), rapid.IntRange(0, 30).Draw(t, "want"), now)
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 && count > 0 {
				h.grants = append(h.grants, grant{count: count, expires: now.Add(GrantTTL)})
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 199).Draw(t, "restart") == 0 {
				grants = RecoverConnectionGrants(capacity, now)
			}
			sum := 0
			for j := range holders {
				sum += holders[j].usable(now)
			}
			require.LessOrEqual(t, sum, capacity)
		}
	})
}

func TestAllConnectionsCanBeGrantedAndExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	grants := NewConnectionGrants(110)
	sum := 0
	for i := range 920 {
		sum += grants.Request(fmt.Sprint(i), 0, 1, now)
	}
	require.Equal(t, 110, sum)
	require.Equal(t, 1, grants.Request("late", 0, 1, now.Add(GrantTTL+GrantGrace)), "unused grants expire")
}
