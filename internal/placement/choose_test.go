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

func noise() float64 { return 0 }

// viewOf is a backend server with 10 slots, a time of a call and a number of calls of this node.
func viewOf(took time.Duration, own int) *ServerStats {
	v := NewServerStats(10, time.Time{})
	for range 30 {
		v.Begin(now)
		v.End(answer(200, took), now)
	}
	for range own {
		v.Begin(now)
	}
	return v
}

func answer(status int, took time.Duration) *calls.Result {
	return &calls.Result{Fate: calls.Answered, Response: &exchange.Response{Status: status}, Took: took}
}

func refusal(reason calls.Reason) *calls.Result {
	return &calls.Result{Fate: calls.NotRun, Reason: reason}
}

func TestChoose(t *testing.T) {
	const fast, slow = 60 * time.Millisecond, 250 * time.Millisecond
	failing := viewOf(fast, 0)
	for range 10 {
		failing.Begin(now)
		failing.End(answer(500, fast), now)
	}
	shedding := viewOf(fast, 0)
	for range 10 {
		shedding.Begin(now)
		shedding.End(refusal(calls.ReasonShed), now)
	}
	leaving := viewOf(fast, 0)
	leaving.Begin(now)
	leaving.End(refusal(calls.ReasonDraining), now)
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"the own failure domain, if it can answer in time", []Candidate{{Stats: viewOf(fast, 0)}, {Stats: viewOf(fast, 3), Local: true}}, 1},
		{"another one, if the own is slow", []Candidate{{Stats: viewOf(fast, 0)}, {Stats: viewOf(slow, 0), Local: true}}, 0},
		{"another one, if the own is full", []Candidate{{Stats: viewOf(fast, 0)}, {Stats: viewOf(100*time.Millisecond, 25), Local: true}}, 0},
		{"not the one that fails", []Candidate{{Stats: failing, Local: true}, {Stats: viewOf(fast, 0)}}, 1},
		{"not the one that sheds", []Candidate{{Stats: shedding, Local: true}, {Stats: viewOf(fast, 0)}}, 1},
		{"not the one that leaves", []Candidate{{Stats: leaving, Local: true}, {Stats: viewOf(slow, 0)}}, 1},
		{"none, if the others are full and one leaves", []Candidate{{Stats: leaving}, {Stats: viewOf(fast, 0), Tried: true}}, -1},
		{"the one that leaves, if there is no other", []Candidate{{Stats: leaving}}, 0},
		{"none, if all were tried", []Candidate{{Stats: viewOf(fast, 0), Tried: true}}, -1},
	} {
		require.Equal(t, c.want, Choose(c.candidates, objective, noise, now), c.name)
	}
}

// Load pattern: a failure domain is cut off. Each call that waits for one of its nodes loses half of its objective, so
// that after the first failure they are passed over, and tried again by one call at a time.
func TestUnreachableIsTriedByOneCall(t *testing.T) {
	v := viewOf(20*time.Millisecond, 0)
	v.Begin(now)
	v.End(refusal(calls.ReasonUnreachable), now)
	require.True(t, v.at(now).avoid)
	later := now.Add(unreachableTime)
	require.False(t, v.at(later).avoid)
	v.Begin(later)
	require.True(t, v.at(later).avoid, "the call that tries it is enough")
	result := answer(200, time.Millisecond)
	result.Load = &calls.Load{Running: 1, Slots: 10}
	v.End(result, later)
	require.False(t, v.at(later).avoid)
}

func TestSlowIsTriedAgain(t *testing.T) {
	slow, other := viewOf(600*time.Millisecond, 0), viewOf(60*time.Millisecond, 0)
	candidates := []Candidate{{Stats: slow, Local: true}, {Stats: other}}
	require.Equal(t, 1, Choose(candidates, objective, noise, now))
	later := now.Add(10 * timeMemory)
	require.Equal(t, 0, Choose(candidates, objective, noise, later), "what was slow long ago may be fast again")
}
