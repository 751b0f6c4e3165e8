package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStormOfVersionsIsAnnouncedOnceAnInterval replays a version each 200 ms for a minute, with a renewal every 2 s.
func TestStormOfVersionsIsAnnouncedOnceAnInterval(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	schedule := announceSchedule{interval: appliedInterval}
	announced := 0
	var last time.Time
	for at := time.Duration(0); at < time.Minute; at += 200 * time.Millisecond {
		now := start.Add(at)
		if schedule.record(now) || at%renewInterval == 0 && schedule.due(now) {
			announced++
			last = now
		}
	}
	require.LessOrEqual(t, announced, 7)
	require.False(t, schedule.due(last.Add(appliedInterval-1)))
	require.True(t, schedule.due(last.Add(appliedInterval)), "the last version is announced after the storm")
	require.False(t, schedule.due(last.Add(2*appliedInterval)), "and only once")
}

// TestAppliedVersionIsAnnouncedAtOnceWithRelays checks the zero interval, on which the planner of relays depends.
func TestAppliedVersionIsAnnouncedAtOnceWithRelays(t *testing.T) {
	var schedule announceSchedule
	now := time.Unix(1_800_000_000, 0)
	require.True(t, schedule.record(now))
	require.True(t, schedule.record(now))
}
