package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// settleTime is the time after which the parts of a fleet that started at once are lent, and the buckets hold tokens.
const settleTime = 4 * time.Second

// requireServed checks that no customer has exceeded its bound, and that each was allowed the given share of what it is owed.
func requireServed(t *testing.T, f *fleet, share float64, from time.Time) {
	t.Helper()
	var sumOwed, sumAllowed int
	for name, c := range f.customers {
		require.LessOrEqual(t, f.exceeded(name, c, time.Time{}), 0.0, name)
		owed, allowed := f.owed(name, c, from)
		t.Logf("%s: rate %.1f, offered %d, owed %d, allowed %d", name, c.Rate, len(f.offered[name]), owed, allowed)
		require.GreaterOrEqual(t, float64(allowed), share*float64(owed)-2, name)
		sumOwed, sumAllowed = sumOwed+owed, sumAllowed+min(allowed, owed)
	}
	t.Logf("owed %d, allowed %d, unknown %d, messages %d, bytes between failure domains %d", sumOwed, sumAllowed, f.unknown, f.messages, f.crossBytes)
}

func sources(f *fleet, usual []float64) []source {
	var list []source
	for i, demand := range usual {
		list = append(list, source{skewedName(i), steadily(demand), f.anywhere})
	}
	return list
}

// Load pattern: 87 customers of very different size at their usual demand over 92 nodes; most send a node less than a call per
// second. All are within their quotas, so all calls are allowed.
func TestUsualDemandIsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customers, usual := skewed(87, 1860)
		f := newFleet(t, 31, customers, 1)
		time.Sleep(settleTime)
		f.play(12*time.Second, sources(f, usual)...)
		requireServed(t, f, 0.99, time.Time{})
		f.close()
	})
}
