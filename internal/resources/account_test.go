package resources

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start     = time.Unix(1_000_000, 0)
	testClass = Class{Name: "test", Share: 0.5, IdleTimeout: keepIdle}
	otherOne  = Class{Name: "other", Share: 0.25}
)

func closeNothing() {}

func newTestAccount(descriptors int, memory int64) *Account {
	return NewAccount(Limits{Descriptors: descriptors, Memory: memory}, testClass, otherOne)
}

func mustOpen(t *testing.T, a *Account, class Class, now time.Time) *Entry {
	e, victims := a.Open(class.Name, closeNothing, now)
	require.NotNil(t, e)
	require.Empty(t, victims)
	return e
}

// TestCrowdThatStopsHalfWayGivesItsPlaceToOthers lets a crowd that fills the descriptors send the start of a request each and
// then stop. Newcomers get the places of those that have stopped, as soon as they have stopped for longer than a round trip.
func TestCrowdThatStopsHalfWayGivesItsPlaceToOthers(t *testing.T) {
	a := newTestAccount(100, 1<<40)
	for range 75 {
		a.Begin(mustOpen(t, a, testClass, start), start)
	}
	e, victims := a.Open(testClass.Name, closeNothing, start.Add(pressureStall/2))
	require.Nil(t, e)
	require.Empty(t, victims)
	e, victims = a.Open(testClass.Name, closeNothing, start.Add(pressureStall))
	require.NotNil(t, e)
	require.Len(t, victims, 1)
}

// TestOtherListenersKeepTheirShare floods one listener: another one still has its share, and a crowd there cannot take more
// than is left.
func TestOtherListenersKeepTheirShare(t *testing.T) {
	a := newTestAccount(100, 1<<40)
	count := 0
	for ; ; count++ {
		if e, _ := a.Open(testClass.Name, closeNothing, start); e == nil {
			break
		}
	}
	require.Equal(t, 75, count)
	for range 25 {
		mustOpen(t, a, otherOne, start)
	}
	e, _ := a.Open(otherOne.Name, closeNothing, start)
	require.Nil(t, e)
}

// TestClientWaitingForItsResponseIsKept fills the descriptors with clients that wait for long responses, which is no lack of
// progress of theirs.
func TestClientWaitingForItsResponseIsKept(t *testing.T) {
	a := newTestAccount(100, 1<<40)
	var entries []*Entry
	for range 75 {
		e := mustOpen(t, a, testClass, start)
		a.Begin(e, start)
		a.Run(e, 1, start)
		entries = append(entries, e)
	}
	later := start.Add(10 * stallTimeout)
	require.Empty(t, a.Sweep(later))
	e, victims := a.Open(testClass.Name, closeNothing, later)
	require.Nil(t, e)
	require.Empty(t, victims)
	// The time for which they waited does not count when it is their turn again.
	a.Run(entries[0], -1, later)
	require.Empty(t, a.Sweep(later.Add(pressureStall)))
}

// TestOneByteAtATimeIsNoProgress lets a client send one byte in each tenth of a second, with the process working in between.
func TestOneByteAtATimeIsNoProgress(t *testing.T) {
	a := newTestAccount(100, 1<<40)
	e := mustOpen(t, a, testClass, start)
	now := start
	a.Begin(e, now)
	a.Run(e, 1, now)
	for ; now.Before(start.Add(stallTimeout + time.Second)); now = now.Add(100 * time.Millisecond) {
		a.Run(e, -1, now)
		a.Moved(e, 1, now.Add(99*time.Millisecond))
		a.Run(e, 1, now.Add(99*time.Millisecond))
	}
	a.Run(e, -1, now)
	require.Equal(t, []*Entry{e}, a.Sweep(now.Add(time.Second)))
}

// TestSlowButMovingBodyPasses sends a body of 64 MiB at 100 kB/s.
func TestSlowButMovingBodyPasses(t *testing.T) {
	a := newTestAccount(100, 1<<40)
	e := mustOpen(t, a, testClass, start)
	now := start
	a.Begin(e, now)
	for sent := 0; sent < 64<<20; sent += 10_000 {
		a.Moved(e, 10_000, now)
		now = now.Add(100 * time.Millisecond)
		require.Empty(t, a.Sweep(now))
	}
}

// TestReaderThatStopsIsClosed lets a client stop reading its response while further requests of its run.
func TestReaderThatStopsIsClosed(t *testing.T) {
	a := newTestAccount(100, 1<<40)
	e := mustOpen(t, a, testClass, start)
	a.Begin(e, start)
	a.Run(e, 1, start)
	a.Writing(e, true, start.Add(time.Minute))
	require.Empty(t, a.Sweep(start.Add(time.Minute+stallTimeout/2)))
	require.Equal(t, []*Entry{e}, a.Sweep(start.Add(time.Minute+stallTimeout)))
}

// TestWhoHoldsMostForLongestGoesFirst compares two clients that have stopped: one holds more, the other has stopped earlier.
func TestWhoHoldsMostForLongestGoesFirst(t *testing.T) {
	const memory = 4 << 20
	a := newTestAccount(100, memory)
	little, much := mustOpen(t, a, testClass, start), mustOpen(t, a, testClass, start.Add(time.Second))
	a.Begin(little, start)
	a.Begin(much, start.Add(time.Second))
	held, _ := a.Hold(much, 2<<20, start.Add(time.Second))
	require.True(t, held)
	ordinary := mustOpen(t, a, testClass, start.Add(3*time.Second))
	held, victims := a.Hold(ordinary, 1<<20, start.Add(3*time.Second))
	require.True(t, held)
	require.Equal(t, []*Entry{much}, victims)
}

// TestSmallRequestsFitWhenLargeOnesFillTheMemory lets a crowd whose clients are all making progress hold as much as it can.
func TestSmallRequestsFitWhenLargeOnesFillTheMemory(t *testing.T) {
	a := newTestAccount(1000, 64<<20)
	for {
		e := mustOpen(t, a, testClass, start)
		if held, _ := a.Hold(e, 1<<20, start); !held {
			break
		}
	}
	for range 50 {
		held, victims := a.Hold(mustOpen(t, a, testClass, start), 64<<10, start)
		require.True(t, held)
		require.Empty(t, victims)
	}
}

// TestUnusedConnectionsOfGoodClientsGoLast fills the descriptors with unused connections, of which some have carried requests.
func TestUnusedConnectionsOfGoodClientsGoLast(t *testing.T) {
	a := newTestAccount(100, 1<<40)
	for range 74 {
		e := mustOpen(t, a, testClass, start)
		a.Begin(e, start)
		a.Idle(e, start)
	}
	unproven := mustOpen(t, a, testClass, start.Add(time.Second))
	_, victims := a.Open(testClass.Name, closeNothing, start.Add(3*time.Second))
	require.Equal(t, []*Entry{unproven}, victims)
}

// TestUnusedConnectionsOfOtherInstancesAreKept leaves connections unused for as long as clients of this project keep them.
func TestUnusedConnectionsOfOtherInstancesAreKept(t *testing.T) {
	a := newTestAccount(100, 1<<40)
	e := mustOpen(t, a, testClass, start)
	a.Begin(e, start)
	a.Idle(e, start)
	require.Empty(t, a.Sweep(start.Add(time.Minute)))
	// Pings are no requests.
	a.Moved(e, 17, start.Add(time.Minute))
	require.Equal(t, []*Entry{e}, a.Sweep(start.Add(keepIdle)))
}

// TestClosedConnectionHoldsNothing gives back what a connection held at its end.
func TestClosedConnectionHoldsNothing(t *testing.T) {
	a := newTestAccount(100, 1<<30)
	e := mustOpen(t, a, testClass, start)
	held, _ := a.Hold(e, 1<<20, start)
	require.True(t, held)
	a.Close(e)
	held, _ = a.Hold(e, -(1 << 20), start)
	require.False(t, held)
	require.Zero(t, a.Status()[0].Held)
	require.Zero(t, a.Status()[0].Conns)
}
