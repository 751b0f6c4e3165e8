package outcome

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTotalsIncludeTakenCounts checks that totals cover the whole life of the process, not only what is not yet taken.
func TestTotalsIncludeTakenCounts(t *testing.T) {
	aggregator := NewAggregator("hobart")
	aggregator.Record("rota", "v1", "rota/lookup", true, false, time.Millisecond)
	require.Len(t, aggregator.Take(), 1)
	require.Empty(t, aggregator.Take())
	aggregator.Record("rota", "v1", "rota/lookup", false, true, time.Millisecond)
	totals := aggregator.Totals()
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
