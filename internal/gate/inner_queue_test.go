package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func innerAt(at time.Time) *Entry {
	e := entryAt(at, 2)
	e.Inner = true
	e.FinishBy = e.Deadline
	return e
}

// Load pattern: the callers' calls fill a backend server that runs of another service call. The inner call of a run goes
// before those of higher priority that wait, and it waits for longer than its objective.
func TestInnerCallsGoFirst(t *testing.T) {
	q := fullQueue(4)
	urgent := entryAt(epoch, 0)
	require.Equal(t, Wait, q.Admit(urgent, epoch).Action)
	late := epoch.Add(250 * time.Millisecond)
	inner := innerAt(epoch)
	require.Equal(t, Wait, q.Admit(inner, late).Action, "it cannot meet its objective any more")
	q.Release("lookup", 100*time.Millisecond, late)
	decision, decided := receiveDecision(inner)
	require.True(t, decided)
	require.Equal(t, Run, decision.Action)
}

// Load pattern: more inner calls than a backend server can run arrive all the time. The callers' calls there keep an eighth
// of the slots.
func TestCallersKeepSlotsBesideInnerCalls(t *testing.T) {
	q := NewQueue(16)
	for range 16 {
		q.Admit(innerAt(epoch), epoch)
	}
	var callers []*Entry
	for range 4 {
		e := entryAt(epoch, 1)
		e.FinishBy = e.Deadline
		callers = append(callers, e)
		require.Equal(t, Wait, q.Admit(e, epoch).Action)
	}
	for range 12 {
		require.Equal(t, Wait, q.Admit(innerAt(epoch), epoch).Action)
	}
	for range 4 {
		q.ReleaseInner("lookup", 100*time.Millisecond, epoch)
	}
	admitted := 0
	for _, e := range callers {
		if decision, decided := receiveDecision(e); decided && decision.Action == Run {
			admitted++
		}
	}
	require.Equal(t, 2, admitted)
	require.Equal(t, 16, q.Running())
}

func TestPressure(t *testing.T) {
	q := NewQueue(16)
	require.Zero(t, q.Pressure(1))
	for range 14 {
		q.Admit(entryAt(epoch, 1), epoch)
	}
	require.Equal(t, 2.0/16, q.Pressure(1), "the callers' calls keep no more than their part")
	for range 4 {
		q.Admit(innerAt(epoch), epoch)
	}
	require.Equal(t, 6.0/16, q.Pressure(1), "two inner calls run and two wait")
	urgent := entryAt(epoch, 0)
	urgent.FinishBy = urgent.Deadline
	require.Equal(t, Wait, q.Admit(urgent, epoch).Action)
	require.Equal(t, 7.0/16, q.Pressure(1), "a call of a higher priority waits")
	require.Equal(t, 6.0/16, q.Pressure(0))
}
