package resources

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMemoryOfAClosedConnectionIsTakenUntilItsOwnerEnds lets a crowd hold nearly all of the memory and stop. A second one comes at
// once: of what the first one held it gets no more than may be lent before the first one's requests have ended.
func TestMemoryOfAClosedConnectionIsTakenUntilItsOwnerEnds(t *testing.T) {
	const (
		memory = 64 << 20
		each   = 1 << 20
	)
	a := newTestAccount(1000, memory)
	hold := func(now time.Time) (entries, victims []*Entry) {
		for {
			e, opened := a.Open(testClass.Name, closeNothing, now)
			require.NotNil(t, e)
			held, displaced := a.Hold(e, each, now)
			victims = append(append(victims, opened...), displaced...)
			if !held {
				return entries, victims
			}
			a.Begin(e, now)
			entries = append(entries, e)
		}
	}
	first, _ := hold(start)
	second, victims := hold(start.Add(pressureStall))
	require.NotEmpty(t, second)
	require.LessOrEqual(t, int64(len(second)*each), int64(lentShare*memory))
	require.LessOrEqual(t, a.Status()[0].Held, int64((1-otherOne.Share+lentShare)*memory))
	for _, e := range victims {
		a.Close(e)
	}
	third, _ := hold(start.Add(pressureStall))
	require.NotEmpty(t, third, "what the owners gave back is there for others")
	for _, e := range append(append(first, second...), third...) {
		a.Close(e)
	}
	for e := range a.entries {
		a.Close(e)
	}
	require.Zero(t, a.Status()[0].Held)
	require.Zero(t, a.classes[0].ending)
}

// TestDisplacedRequestGivesBackWhatItHeld releases the memory of a request after its connection was closed.
func TestDisplacedRequestGivesBackWhatItHeld(t *testing.T) {
	a := newTestAccount(10, 1<<30)
	e := mustOpen(t, a, testClass, start)
	held, _ := a.Hold(e, 1<<20, start)
	require.True(t, held)
	a.Shut(e)
	require.EqualValues(t, connCost+1<<20, a.Status()[0].Held)
	a.Hold(e, -(1 << 20), start)
	require.EqualValues(t, connCost, a.Status()[0].Held)
	a.Close(e)
	a.Close(e)
	require.Zero(t, a.Status()[0].Held)
}
