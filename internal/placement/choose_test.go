package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
)

var now = time.UnixMilli(1_700_000_000_000)

const objective = 300 * time.Millisecond

func noJitter() float64 { return 0 }

// statsOf returns the statistics of a backend server with 10 slots that answers with the given latency, and where this
// node has ownCalls calls in flight.
func statsOf(latency time.Duration, ownCalls int) *ServerStats {
	stats := NewServerStats(10, time.Time{})
	for range 30 {
		stats.Begin(now)
		stats.End(answer(200, latency), now)
	}
	for range ownCalls {
		stats.Begin(now)
	}
	return stats
}

// tell lets the gate of a backend server tell its slowdown.
func tell(stats *ServerStats, slowdown float64, at time.Time) {
	stats.Begin(at)
	result := refusal(calls.ReasonFull)
	result.Load = &calls.Load{Slots: 10, Slowdown: slowdown}
	stats.End(result, at)
}

func answer(status int, latency time.Duration) *calls.Result {
	return &calls.Result{Outcome: calls.Answered, Response: &exchange.Response{Status: status}, Latency: latency}
}

func refusal(reason calls.Reason) *calls.Result {
	return &calls.Result{Outcome: calls.NotRun, Reason: reason}
}

func TestChoose(t *testing.T) {
	const fast, slow = 60 * time.Millisecond, 250 * time.Millisecond
	failing := statsOf(fast, 0)
	for range 10 {
		failing.Begin(now)
		failing.End(answer(500, fast), now)
	}
	shedding := statsOf(fast, 0)
	for range 10 {
		shedding.Begin(now)
		shedding.End(refusal(calls.ReasonShed), now)
	}
	draining := statsOf(fast, 0)
	draining.Begin(now)
	draining.End(refusal(calls.ReasonDraining), now)
	slowNow := statsOf(fast, 0)
	tell(slowNow, 1, now.Add(-time.Second))
	tell(slowNow, 10, now)
	usually := statsOf(2*fast, 0)
	tell(usually, 2, now)
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"not the one that is slow at this moment", []Candidate{{Stats: slowNow, Local: true}, {Stats: usually}}, 1},
		{"the local one, if it can answer in time", []Candidate{{Stats: statsOf(fast, 0)}, {Stats: statsOf(fast, 3), Local: true}}, 1},
		{"a remote one, if the local one is slow", []Candidate{{Stats: statsOf(fast, 0)}, {Stats: statsOf(slow, 0), Local: true}}, 0},
		{"a remote one, if the local one is full", []Candidate{{Stats: statsOf(fast, 0)}, {Stats: statsOf(100*time.Millisecond, 25), Local: true}}, 0},
		{"not the one that fails", []Candidate{{Stats: failing, Local: true}, {Stats: statsOf(fast, 0)}}, 1},
		{"not the one that sheds", []Candidate{{Stats: shedding, Local: true}, {Stats: statsOf(fast, 0)}}, 1},
		{"not the one that is draining", []Candidate{{Stats: draining, Local: true}, {Stats: statsOf(slow, 0)}}, 1},
		{"none, if the others are full and one is draining", []Candidate{{Stats: draining}, {Stats: statsOf(fast, 0), Tried: true}}, -1},
		{"the draining one, if there is no other", []Candidate{{Stats: draining}}, 0},
		{"none, if all were tried", []Candidate{{Stats: statsOf(fast, 0), Tried: true}}, -1},
	} {
		require.Equal(t, c.want, Choose(c.candidates, objective, noJitter, now), c.name)
	}
}

// TestUnreachableIsProbedByOneCall covers a partitioned failure domain. Each call that waits for one of its nodes loses
// half of its objective, so calls avoid a backend server after the first failure and one call at a time probes it.
func TestUnreachableIsProbedByOneCall(t *testing.T) {
	stats := statsOf(20*time.Millisecond, 0)
	stats.Begin(now)
	stats.End(refusal(calls.ReasonUnreachable), now)
	require.True(t, stats.snapshot(now).avoid)
	later := now.Add(unreachableBackoff)
	require.False(t, stats.snapshot(later).avoid)
	stats.Begin(later)
	require.True(t, stats.snapshot(later).avoid, "one call probes it, the others avoid it")
	result := answer(200, time.Millisecond)
	result.Load = &calls.Load{Running: 1, Slots: 10}
	stats.End(result, later)
	require.False(t, stats.snapshot(later).avoid)
}

func TestSlowServerIsChosenAgainLater(t *testing.T) {
	slow, other := statsOf(600*time.Millisecond, 0), statsOf(60*time.Millisecond, 0)
	candidates := []Candidate{{Stats: slow, Local: true}, {Stats: other}}
	require.Equal(t, 1, Choose(candidates, objective, noJitter, now))
	later := now.Add(10 * statsHalfLife)
	require.Equal(t, 0, Choose(candidates, objective, noJitter, later), "an old latency no longer counts")
}

// TestSlowMomentPasses covers a machine that is slow for less time than it takes to hear of it again.
func TestSlowMomentPasses(t *testing.T) {
	slow, other := statsOf(60*time.Millisecond, 0), statsOf(60*time.Millisecond, 0)
	for i := range 20 {
		tell(slow, 1, now.Add(time.Duration(i-20)*100*time.Millisecond))
		tell(other, 1, now.Add(time.Duration(i-20)*100*time.Millisecond))
	}
	tell(slow, 12, now)
	candidates := []Candidate{{Stats: slow, Local: true}, {Stats: other}}
	require.Equal(t, 1, Choose(candidates, objective, noJitter, now))
	later := now.Add(3 * time.Second)
	require.Equal(t, 0, Choose(candidates, objective, noJitter, later), "the word is old")
}

// TestCallsOfOtherNodesAreExpectedBetweenReports covers a busy backend server of which a node has not heard for a second: it is
// as busy as it usually is, not empty.
func TestCallsOfOtherNodesAreExpectedBetweenReports(t *testing.T) {
	busy, free := statsOf(100*time.Millisecond, 0), statsOf(100*time.Millisecond, 0)
	for range 100 {
		tell(free, 1, now)
		result := refusal(calls.ReasonFull)
		result.Load = &calls.Load{Running: 10, Waiting: 20, Slots: 10, Slowdown: 1}
		busy.Begin(now)
		busy.End(result, now)
	}
	tell(busy, 1, now)
	require.Equal(t, 1, Choose([]Candidate{{Stats: busy, Local: true}, {Stats: free}}, objective, noJitter, now.Add(2*time.Second)))
}

// Load pattern: the link of a node is full, and calls to its gate get no word until their deadline. Other backend servers get
// the calls, although this one looks idle, and one call at a time probes it.
func TestSilentGateIsAvoided(t *testing.T) {
	silent, other := statsOf(20*time.Millisecond, 0), statsOf(60*time.Millisecond, 0)
	candidates := []Candidate{{Stats: silent, Local: true}, {Stats: other}}
	require.Equal(t, 0, Choose(candidates, objective, noJitter, now))
	silent.Begin(now)
	silent.End(&calls.Result{Outcome: calls.Expired, Reason: calls.ReasonSilent}, now)
	require.Equal(t, 1, Choose(candidates, objective, noJitter, now))
	later := now.Add(unreachableBackoff)
	require.Equal(t, 0, Choose(candidates, objective, noJitter, later))
	silent.Begin(later)
	require.Equal(t, 1, Choose(candidates, objective, noJitter, later), "one call probes it")
}

// TestLongResponsesGoToFreeLinks covers an instance whose link is busy for a second: calls with long responses go elsewhere, others
// do not, as short responses are sent before long ones.
func TestLongResponsesGoToFreeLinks(t *testing.T) {
	busy, free := statsOf(60*time.Millisecond, 0), statsOf(60*time.Millisecond, 0)
	result := refusal(calls.ReasonFull)
	result.Load = &calls.Load{Slots: 10, LinkWait: time.Second}
	busy.Begin(now)
	busy.End(result, now)
	for _, c := range []struct {
		long bool
		want int
	}{{false, 0}, {true, 1}} {
		candidates := []Candidate{{Stats: busy, Local: true, LongResponse: c.long}, {Stats: free, LongResponse: c.long}}
		require.Equal(t, c.want, Choose(candidates, objective, noJitter, now))
	}
}
