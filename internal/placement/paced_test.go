package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
)

// Load pattern: the backend servers of a failure domain have come back cold and idle, and their gates limit the rate of calls.
// Calls go to the busier warm ones as long as those are expected to keep to the objective.
func TestColdServersGetCallsOnlyIfTheOthersAreLate(t *testing.T) {
	choose := func(cold *ServerStats, warmLatency time.Duration) int {
		return Choose([]Candidate{{Stats: cold, Local: true}, {Stats: statsOf(warmLatency, 2), Local: false}}, objective, noJitter, now)
	}
	cold := NewServerStats(10, now.Add(time.Second))
	cold.SetColdRate(12)
	require.Equal(t, 1, choose(cold, objective/2), "the warm one is remote and busier")
	require.Equal(t, 0, choose(cold, 3*objective), "the warm one would be late")

	unpaced := NewServerStats(10, now.Add(time.Second))
	require.Equal(t, 0, choose(unpaced, objective/2), "without a rate, as before")
}

// TestColdServerIsMarkedAndNotForgotten: a later word extends a coldness, an older one does not end it.
func TestColdServerIsMarkedAndNotForgotten(t *testing.T) {
	stats := NewServerStats(10, time.Time{})
	stats.SetColdRate(12)
	require.False(t, stats.snapshot(now).paced)
	stats.MarkCold(now.Add(time.Second))
	stats.MarkCold(now)
	require.True(t, stats.snapshot(now).paced)
	require.False(t, stats.snapshot(now.Add(time.Second)).paced)
}

// TestPacedRefusalIsRememberedShortly: after a refusal for the pace a node tries others first until the gate has room again.
func TestPacedRefusalIsRememberedShortly(t *testing.T) {
	for _, c := range []struct{ retryAfter, want time.Duration }{
		{0, minColdBackoff}, {300 * time.Millisecond, 300 * time.Millisecond}, {time.Minute, maxColdBackoff},
	} {
		stats := NewServerStats(10, time.Time{})
		stats.Begin(now)
		stats.End(&calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonCold, RetryAfter: c.retryAfter}, now)
		require.True(t, stats.snapshot(now.Add(c.want-1)).avoid)
		require.False(t, stats.snapshot(now.Add(c.want)).avoid)
	}
}
