package distribution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWorkOnANewVersionIsNotCountedForTheOldOne lets a watcher be served before the process records the new version.
func TestWorkOnANewVersionIsNotCountedForTheOldOne(t *testing.T) {
	stats := newServingStats()
	start := time.Now().Add(-time.Minute)
	stats.Begin(1, start)
	stats.recordResponse(nil, []byte("delta"), start.Add(time.Second))
	stats.RecordBuild(2, 10*time.Millisecond)
	stats.recordResponse([]byte("snapshot"), nil, time.Now())
	stats.Begin(2, time.Now())
	require.Equal(t, []ServedVersion{{Version: 1, Deltas: 1, Bytes: 5, FirstResponse: time.Second, LastResponse: time.Second}}, stats.Finished())
	stats.Begin(3, time.Now())
	finished := stats.Finished()
	require.Len(t, finished, 1)
	require.Equal(t, 10*time.Millisecond, finished[0].Build)
	require.Equal(t, 1, finished[0].Snapshots)
	require.Less(t, finished[0].LastResponse, time.Second)
}
