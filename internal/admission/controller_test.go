package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.UnixMilli(1_700_000_000_000)

const (
	// full and free are pressures that gates of an inner service report.
	full = 3.5
	free = 0.5
)

// node is a controller under test with a clock, beside a backend server whose "history" runs make two calls to "assets" and
// whose "dispatch" runs make none.
type node struct {
	*Controller
	now time.Time
	ids int
}

func newNode() *node {
	return &node{Controller: NewController(Options{IDSeparator: "."}), now: epoch}
}

// newTrainedNode returns a node that has seen runs of both routes.
func newTrainedNode(t *testing.T) *node {
	n := newNode()
	for range 30 {
		n.answer(n.admit(t, "history", 2), 2, free)
		n.finish(n.admit(t, "dispatch", 1))
	}
	return n
}

func (n *node) tryAdmit(route string, priority int) (*Run, Decision) {
	n.ids++
	return n.Admit(string(rune('a'+n.ids%26))+time.Duration(n.ids).String(), route, priority, n.now)
}

func (n *node) admit(t *testing.T, route string, priority int) *Run {
	run, decision := n.tryAdmit(route, priority)
	require.False(t, decision.Refused())
	return run
}

// answer lets the run make inner calls at which gates report the pressure, and ends it.
func (n *node) answer(run *Run, count int, pressure float64) {
	for range count {
		n.BeginInner(run, "assets")
		n.now = n.now.Add(50 * time.Millisecond)
		n.EndInner(run, "assets", Answer{Pressure: pressure, Served: true}, n.now)
	}
	n.finish(run)
}

func (n *node) finish(run *Run) { n.End(run, true, true, n.now) }

// fill makes the inner service full and keeps runs in flight.
func (n *node) fill(t *testing.T, runs int) []*Run {
	var inFlight []*Run
	for range runs {
		inFlight = append(inFlight, n.admit(t, "history", 2))
	}
	for range 10 {
		n.report(inFlight[0], full)
	}
	return inFlight
}

func (n *node) report(run *Run, pressure float64) {
	n.now = n.now.Add(20 * time.Millisecond)
	n.BeginInner(run, "assets")
	n.EndInner(run, "assets", Answer{Pressure: pressure, Served: true}, n.now)
}

// Load pattern: the inner service is full while the backend server has slots free. Only routes whose runs call it are
// refused, before the run and with a time to come back.
func TestCallsAreRefusedWhileTheirInnerServiceIsFull(t *testing.T) {
	n := newTrainedNode(t)
	n.fill(t, 10)
	_, decision := n.tryAdmit("history", 2)
	require.True(t, decision.Refused())
	require.Equal(t, "assets", decision.Service)
	require.Positive(t, decision.RetryAfter)
	n.admit(t, "dispatch", 1)
}

// A run is one of those in flight: a caller that comes when one of them has ended is admitted.
func TestEndedRunsMakeRoom(t *testing.T) {
	n := newTrainedNode(t)
	inFlight := n.fill(t, 10)
	_, decision := n.tryAdmit("history", 2)
	require.True(t, decision.Refused())
	for _, run := range inFlight {
		n.finish(run)
	}
	n.admit(t, "history", 2)
}

// Metastable failures: without a call of the routes that are limited nothing is reported any more, and with calls the
// reports fall. In both cases the limit ends without help.
func TestLimitEndsByItself(t *testing.T) {
	t.Run("reports stop, as at a cut", func(t *testing.T) {
		n := newTrainedNode(t)
		n.fill(t, 10)
		for range 50 {
			n.now = n.now.Add(100 * time.Millisecond)
			n.tryAdmit("history", 2)
		}
		_, decision := n.tryAdmit("history", 2)
		require.False(t, decision.Refused())
		require.False(t, n.limits["assets"].active())
	})
	t.Run("reports fall", func(t *testing.T) {
		n := newTrainedNode(t)
		inFlight := n.fill(t, 10)
		for range 100 {
			n.report(inFlight[0], free)
		}
		n.admit(t, "history", 2)
		require.False(t, n.limits["assets"].active())
	})
}

// A cut between the node and the inner service gives no reports: inner calls fail without a gate's word.
func TestFailedInnerCallsWithoutAWordLimitNothing(t *testing.T) {
	n := newTrainedNode(t)
	for range 100 {
		run := n.admit(t, "history", 2)
		n.BeginInner(run, "assets")
		n.now = n.now.Add(50 * time.Millisecond)
		n.EndInner(run, "assets", Answer{}, n.now)
		require.True(t, n.LostInner(run))
		n.End(run, true, false, n.now)
	}
	n.admit(t, "history", 2)
}

func TestRestartedNodeAdmits(t *testing.T) {
	n := newNode()
	for range 100 {
		n.admit(t, "history", 2)
	}
}

// Load pattern: runs of a low and of a high priority need the scarce service. The high priority gets the room; the low one
// keeps a small share of it.
func TestScarceRoomGoesByRank(t *testing.T) {
	n := newTrainedNode(t)
	for range 30 {
		n.answer(n.admit(t, "seal", 0), 1, free)
	}
	inFlight := n.fill(t, 20)
	_, decision := n.tryAdmit("history", 2)
	require.True(t, decision.Refused())
	seals := 0
	for range 200 {
		if run, _ := n.tryAdmit("seal", 0); run == nil {
			break
		}
		seals++
	}
	require.Greater(t, seals, 10, "runs of a lower rank do not take its room")
	require.Less(t, seals, 200, "the room is limited")
	for _, run := range inFlight {
		n.finish(run)
	}
	n.admit(t, "history", 2)
}

// A run that failed midway has made fewer inner calls than it needs. Counting it would let more runs in, the more fail.
func TestFailedRunsDoNotLowerTheNeed(t *testing.T) {
	n := newTrainedNode(t)
	before := n.needs.of("history", "assets")
	for range 100 {
		run := n.admit(t, "history", 2)
		n.BeginInner(run, "assets")
		n.EndInner(run, "assets", Answer{NoRoom: true}, n.now)
		n.End(run, true, false, n.now)
		n.now = n.now.Add(time.Second)
	}
	require.GreaterOrEqual(t, n.needs.of("history", "assets"), before)
}

func TestParentIsFoundByTheRequestID(t *testing.T) {
	n := newNode()
	run, _ := n.Admit("c7.1", "history", 2, n.now)
	require.Same(t, run, n.Parent("c7.1.f0"))
	require.Nil(t, n.Parent("c7.1"), "a caller's call")
	require.Nil(t, n.Parent("c8.f0"), "no such run")
	require.Nil(t, n.Parent(".f0"))
	n.finish(run)
	require.Nil(t, n.Parent("c7.1.f0"), "the run has ended")
	require.Nil(t, NewController(Options{}).Parent("c7.1.f0"))
	require.Nil(t, (*Controller)(nil).Parent("c7.1.f0"))
}
