package gate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/outcome"
)

// Load pattern: callers press on a backend server in waves and bursts, from before it becomes cold until after, and calls reach
// it with a delay that varies. In each second, from the moment at which it is cold, it gets no more than its limit.
func TestColdServerGetsItsPaceInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 30).Draw(t, "limit")
		start := time.UnixMilli(1_700_000_000_000)
		pace := NewPace(start.Add(-time.Minute))
		coldFrom := start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "cold from")) * time.Millisecond)
		now := start
		var sentCold, arrivedCold []time.Time
		beforeCold := 0
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 40, 300}).Draw(t, "gap")) * time.Millisecond)
			cold := !now.Before(coldFrom)
			if cold && pace.Wait(limit, now) > 0 {
				continue
			}
			pace.Take(limit, now)
			if cold {
				delay := time.Duration(rapid.IntRange(0, int(arrivalDelay/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
				arrivedCold = append(arrivedCold, now.Add(delay))
				sentCold = append(sentCold, now)
			} else if now.After(coldFrom.Add(-paceWindow)) {
				beforeCold++
			}
		}
		slices.SortFunc(arrivedCold, time.Time.Compare)
		for i, first := range arrivedCold {
			end, _ := slices.BinarySearchFunc(arrivedCold, first.Add(time.Second), time.Time.Compare)
			require.LessOrEqual(t, end-i, limit)
		}
		if beforeCold >= limit {
			for _, at := range sentCold {
				require.False(t, at.Equal(coldFrom), "the calls of the second before count")
			}
		}
	})
}

// Load pattern: callers press without a pause. A cold backend server gets its whole pace, so that as few as possible are refused.
func TestColdServerGetsItsWholePace(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	pace := NewPace(start.Add(-time.Minute))
	const windows = 5
	sent := 0
	for after := time.Duration(0); after < windows*paceWindow; after += time.Millisecond {
		if now := start.Add(after); pace.Wait(20, now) == 0 {
			pace.Take(20, now)
			sent++
		}
	}
	require.Equal(t, windows*20, sent)
}

// TestCallsOfAnEarlierProcessCount: a node that was killed and starts again does not know what it sent a moment ago.
func TestCallsOfAnEarlierProcessCount(t *testing.T) {
	started := time.UnixMilli(1_700_000_000_000)
	pace := NewPace(started)
	require.Equal(t, paceWindow, pace.Wait(20, started))
	require.Zero(t, pace.Wait(20, started.Add(paceWindow)))
}

func TestColdLimitLeavesRoomForCallsThatArriveCloserTogether(t *testing.T) {
	limit := coldLimit(12, 1.5, 8)
	require.GreaterOrEqual(t, limit, 12)
	require.Less(t, limit, 12*3/2+8)
	require.Equal(t, 1, coldLimit(0.5, 0, 0))
	require.Equal(t, 12, coldLimit(12, 0, 0))
}

// coldGate is a gate for a backend server that counts its calls.
type coldGate struct {
	gate      *Gate
	info      *apiv1.BackendServer
	terms     Terms
	coldUntil time.Time
	clock     time.Time
	received  atomic.Int64
	// coldMs is the text of the header with which the backend server tells that it is cold.
	coldMs string
}

func newColdGate(t *testing.T) *coldGate {
	c := &coldGate{clock: time.Now(), terms: Terms{ColdRate: 12, ColdStart: 3 * time.Second}}
	headers := calls.DefaultHeaders()
	headers.ColdMs = "Cold-Ms"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.received.Add(1)
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		if c.coldMs != "" {
			w.Header().Set(headers.ColdMs, c.coldMs)
		}
	}))
	t.Cleanup(server.Close)
	c.info = &apiv1.BackendServer{Instance: "a", Service: "rota", FailureDomain: "hobart", Addr: server.Listener.Addr().String(), Slots: 200, State: apiv1.ServerState_SERVER_STATE_READY}
	c.gate = New(Options{
		LocalServer: func() *apiv1.BackendServer { return c.info },
		ColdUntil:   func() time.Time { return c.coldUntil },
		Terms:       func(*apiv1.BackendServer) Terms { return c.terms },
		ColdOverrun: 1.5, ColdSlack: 8,
		Headers: headers, Recorder: outcome.NewAggregator("hobart"), Logger: zerolog.Nop(),
		Now: func() time.Time { return c.clock },
	})
	c.clock = c.clock.Add(time.Minute)
	return c
}

// press sends calls and returns how many the backend server got. All others must be refused for the reason.
func (c *coldGate) press(t *testing.T, count int, reason calls.Reason) int {
	before := c.received.Load()
	refused := 0
	for range count {
		result := c.gate.Pass(context.Background(), newTestCall(c.clock), "a", c.clock.Add(time.Second))
		if result.Outcome == calls.Answered {
			continue
		}
		refused++
		require.Equal(t, calls.NotRun, result.Outcome)
		require.Equal(t, reason, result.Reason, result.Detail)
	}
	got := int(c.received.Load() - before)
	require.Equal(t, count-refused, got)
	return got
}

// Load pattern: a backend server comes back cold while callers press with 100 calls a second. The gate lets its pace through
// and refuses the others at once; a warm one gets all.
func TestGatePacesAColdServer(t *testing.T) {
	c := newColdGate(t)
	limit := coldLimit(12, 1.5, 8)
	require.Equal(t, 100, c.press(t, 100, calls.ReasonNone), "a warm backend server")
	c.clock = c.clock.Add(2 * time.Second)
	c.info = &apiv1.BackendServer{Instance: "a", Incarnation: 2, Service: "rota", Addr: c.info.Addr, Slots: 200, State: c.info.State}
	c.coldUntil = c.clock.Add(3 * time.Second)
	for range 3 {
		require.Equal(t, limit, c.press(t, 100, calls.ReasonCold))
		c.clock = c.clock.Add(paceWindow)
	}
	require.Equal(t, 100, c.press(t, 100, calls.ReasonNone), "warm again")
	require.EqualValues(t, 3*(100-limit), c.gate.PacedRefusals())
}

// TestGateWithoutPaceSendsAll guards the deployments whose configuration says nothing of cold backend servers.
func TestGateWithoutPaceSendsAll(t *testing.T) {
	c := newColdGate(t)
	c.terms = Terms{}
	c.coldUntil = c.clock.Add(3 * time.Second)
	require.Equal(t, 100, c.press(t, 100, calls.ReasonNone))
}

// TestColdServerGetsNoCallsBeforeItsPaceIsKnown: a node that starts beside a cold backend server has no configuration for a moment.
// In a deployment without a bound for cold backend servers, and for a warm one, the calls of others are served meanwhile.
func TestColdServerGetsNoCallsBeforeItsPaceIsKnown(t *testing.T) {
	c := newColdGate(t)
	c.terms = Terms{Unknown: true}
	require.Equal(t, 20, c.press(t, 20, calls.ReasonNone))
	c.coldUntil = c.clock.Add(3 * time.Second)
	require.Zero(t, c.press(t, 20, calls.ReasonCold))
	c.gate.options.ColdOverrun = 0
	require.Equal(t, 20, c.press(t, 20, calls.ReasonNone))
}

// TestGateBelievesAResponseThatTellsOfColdness: a backend server may become cold at any moment, and tells so before its next
// heartbeat. Words that cannot be read change nothing.
func TestGateBelievesAResponseThatTellsOfColdness(t *testing.T) {
	c := newColdGate(t)
	for _, odd := range []string{"soon", "-5", "NaN", "1e300", "+Inf"} {
		c.coldMs = odd
		require.Equal(t, 50, c.press(t, 50, calls.ReasonNone), odd)
	}
	c.clock = c.clock.Add(time.Minute)
	c.coldMs = "2000"
	require.Equal(t, coldLimit(12, 1.5, 8), c.press(t, 100, calls.ReasonCold))
}

// TestGateRefusesWhileEvacuated: a node that has not yet learned of an evacuation still sends. After the evacuation the
// backend server may have become cold without anyone seeing it, so it gets its pace first.
func TestGateRefusesWhileEvacuated(t *testing.T) {
	c := newColdGate(t)
	c.terms.Evacuated = true
	require.Zero(t, c.press(t, 20, calls.ReasonEvacuated))
	c.terms.Evacuated, c.terms.EvacuationEnded = false, c.clock
	require.Equal(t, coldLimit(12, 1.5, 8), c.press(t, 100, calls.ReasonCold))
	c.clock = c.clock.Add(c.terms.ColdStart)
	require.Equal(t, 100, c.press(t, 100, calls.ReasonNone))
}

// TestServerThatRefusedConnectionsIsPaced: a backend server that starts again under the same name listens before its first
// heartbeat tells that it is cold.
func TestServerThatRefusedConnectionsIsPaced(t *testing.T) {
	c := newColdGate(t)
	listening := c.info.Addr
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c.info.Addr = listener.Addr().String()
	require.NoError(t, listener.Close())
	result := c.gate.Pass(context.Background(), newTestCall(c.clock), "a", c.clock.Add(time.Second))
	require.Equal(t, calls.ReasonUnreachable, result.Reason)
	c.gate.current.addr, c.info.Addr = listening, listening
	c.clock = c.clock.Add(breakerOpenTime)
	require.Equal(t, coldLimit(12, 1.5, 8)-1, c.press(t, 100, calls.ReasonCold), "the call that got no connection counts too")
}
