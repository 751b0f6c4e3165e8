package outcome

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTotalsOutliveTake(t *testing.T) {
	sum := NewAggregator("hobart")
	sum.Record("rota", "v1", "rota/lookup", true, false, time.Millisecond)
	require.Len(t, sum.Take(), 1)
	require.Empty(t, sum.Take())
	sum.Record("rota", "v1", "rota/lookup", false, true, time.Millisecond)
	totals := sum.Totals()
	require.Len(t, totals, 1)
	require.Equal(t, Total{Key: Key{"rota", "v1", "rota/lookup", "hobart"}, OK: 1, Errors: 1, Broken: 1}, totals[0])
}

func TestBucketBounds(t *testing.T) {
	for _, c := range []struct {
		duration time.Duration
		want     int
	}{{0, 0}, {249 * time.Microsecond, 0}, {250 * time.Microsecond, 1}, {500 * time.Microsecond, 2}, {time.Hour, BucketCount - 1}} {
		require.Equal(t, c.want, Bucket(c.duration), c.duration)
	}
}
