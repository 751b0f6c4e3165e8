package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
)

// slowQueue returns a queue with 4 free slots and a mean latency of 100 ms that heard of a slowdown.
func slowQueue(usual, slowdown float64) *Queue {
	q := fullQueue(4)
	for range 4 {
		q.Release("lookup", 0, epoch)
	}
	q.observeLoad(calls.Load{Slowdown: usual}, epoch.Add(-time.Second))
	q.observeLoad(calls.Load{Slowdown: slowdown}, epoch)
	return q
}

// Load pattern: a machine takes 2.5 times as long for some 600 ms at a time. The gate passes on a call that would miss its
// time only because of that, and takes such calls again as the word becomes old without an answer of the backend server.
func TestCallIsPassedOnInASlowMoment(t *testing.T) {
	q := slowQueue(1, 2.5)
	decision := q.Admit(entryAt(epoch, 1), epoch)
	require.Equal(t, Refuse, decision.Action)
	require.True(t, decision.Slow)
	require.Zero(t, q.Running())

	gaveUp := entryAt(epoch, 1)
	gaveUp.FinishBy = gaveUp.Objective
	require.Equal(t, Run, q.Admit(gaveUp, epoch).Action, "a call that gave up its objective is not passed on")
	patient := entryAt(epoch.Add(100*time.Millisecond), 1)
	require.Equal(t, Run, q.Admit(patient, epoch).Action, "it ends in time all the same")
	later := epoch.Add(600 * time.Millisecond)
	require.Equal(t, Run, q.Admit(entryAt(later, 1), later).Action, "the word is old")
}

func TestUsuallySlowServerTakesCalls(t *testing.T) {
	require.Equal(t, Run, slowQueue(2.5, 2.5).Admit(entryAt(epoch, 1), epoch).Action)
}

// TestMeansAreThoseOfASlowdownOfOne covers calls that began in a slow moment: the calls after it are expected to be as fast as
// before.
func TestMeansAreThoseOfASlowdownOfOne(t *testing.T) {
	q := slowQueue(1, 2.5)
	for range 20 {
		q.Admit(entryAt(epoch, 1), epoch)
		q.running = 1
		q.Release("lookup", atSlowdownOne(250*time.Millisecond, q.slowdown(epoch)), epoch)
	}
	q.observeLoad(calls.Load{Slowdown: 1}, epoch)
	require.InDelta(t, 100*time.Millisecond, q.latencies.Expected("lookup", epoch), float64(5*time.Millisecond))
	require.Equal(t, 250*time.Millisecond, atSlowdownOne(250*time.Millisecond, 0), "none is told")
}
