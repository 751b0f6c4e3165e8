package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// holder is a node's own view of its grants.
type holder struct {
	grants []grant
}

func (h *holder) holds(now time.Time) int {
	count := 0
	for _, g := range h.grants {
		if now.Before(g.expires) {
			count = max(count, g.count)
		}
	}
	return count
}

// TestConnectionsStayBelowTheLimit lets 920 nodes with differing views ask, lose answers and go on using what they were
// granted, while the ledger's process restarts.
func TestConnectionsStayBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes, capacity = 920, 110
		now := time.Unix(1000, 0)
		ledger := NewConnectionGrants(capacity)
		holders := make([]holder, nodes)
		for range rapid.IntRange(50, 1500).Draw(t, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			if rapid.IntRange(0, 9).Draw(t, "near") < 7 {
				i %= 40
			}
			h := &holders[i]
			count := ledger.Request(fmt.Sprint(i), h.holds(now), rapid.IntRange(0, 30).Draw(t, "want"), now)
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 && count > 0 {
				h.grants = append(h.grants, grant{count: count, expires: now.Add(GrantTTL)})
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 199).Draw(t, "restart") == 0 {
				ledger = RecoverConnectionGrants(capacity, now)
			}
			sum := 0
			for j := range holders {
				sum += holders[j].holds(now)
			}
			require.LessOrEqual(t, sum, capacity)
		}
	})
}

func TestLedgerGivesUpToTheCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewConnectionGrants(110)
	sum := 0
	for i := range 920 {
		sum += ledger.Request(fmt.Sprint(i), 0, 1, now)
	}
	require.Equal(t, 110, sum)
	require.Equal(t, 1, ledger.Request("late", 0, 1, now.Add(GrantTTL+GrantGrace)), "unused grants lapse")
}
