package proxy

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/tree"
)

const shedResponse = "HTTP/1.1 503 S\r\nSamphireflow-Shed: 1\r\nContent-Length: 0\r\n\r\n"

// TestOnlyTheFirstNodeRetries checks that a shed call is retried at depth 0 only, so that retries do not multiply.
func TestOnlyTheFirstNodeRetries(t *testing.T) {
	for _, c := range []struct {
		depth    string
		attempts int64
	}{{"", 2}, {"3", 1}} {
		var attempts atomic.Int64
		shedding := func(*http.Request, int64) (string, bool) {
			attempts.Add(1)
			return shedResponse, false
		}
		a, b := newRawServer(t, shedding), newRawServer(t, shedding)
		p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", a.addr), serverInfo("b", b.addr))
		require.Equal(t, OutcomeNotRun, p.call(t, "GET", "/rota/1", "", HeaderDepth, c.depth).outcome)
		require.Equal(t, c.attempts, attempts.Load())
	}
}

// TestRetriesStayWithinTheBudget lets all backend servers shed every attempt, as in an overload, and counts the attempts:
// retries must add at most 10 % and the initial budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const calls = 400
	var attempts atomic.Int64
	var addrs []string
	for range 4 {
		server := newRawServer(t, func(*http.Request, int64) (string, bool) {
			attempts.Add(1)
			return shedResponse, false
		})
		addrs = append(addrs, server.addr)
	}
	p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", addrs[0]), serverInfo("b", addrs[1]), serverInfo("c", addrs[2]), serverInfo("d", addrs[3]))
	for range calls {
		require.Equal(t, OutcomeNotRun, p.call(t, "GET", "/rota/1", "").outcome)
	}
	require.LessOrEqual(t, attempts.Load(), int64(calls*1.1+10))
	require.Greater(t, attempts.Load(), int64(calls))
}

func TestOnlyIdempotentCallsAreRetriedWhenBroken(t *testing.T) {
	closeConn := func(*http.Request, int64) (string, bool) { return "", true }
	a, b := newRawServer(t, closeConn), newRawServer(t, closeConn)
	p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", a.addr), serverInfo("b", b.addr))
	require.Equal(t, OutcomeUnknown, p.call(t, "POST", "/shifts/1", "").outcome)
	require.EqualValues(t, 1, a.requests.Load()+b.requests.Load())
	require.Equal(t, OutcomeUnknown, p.call(t, "GET", "/rota/1", "").outcome)
	require.EqualValues(t, 3, a.requests.Load()+b.requests.Load(), "an idempotent call is retried")
}

// TestOverloadIsRefusedQuickly occupies all slots and fills the queue. A caller that holds its share of the queue must be
// refused first, and every caller once the queue is full; the queued calls must still be served.
func TestOverloadIsRefusedQuickly(t *testing.T) {
	release := make(chan struct{})
	var inFlight atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		inFlight.Add(1)
		<-release
		w.WriteHeader(http.StatusOK)
	}))
	defer backend.Close()
	info := serverInfo("a", backend.Listener.Addr().String())
	info.Slots = 2
	p := newTestProxy(t, Options{}, defaultSettings(tree.KeyQueueLength, "4", tree.KeyCallerShare, "0.5", tree.KeyCallTimeout, "30s"), info)
	var wg sync.WaitGroup
	done := make(chan reply, 16)
	send := func(caller string) {
		wg.Go(func() { done <- p.call(t, "GET", "/rota/1", "", HeaderCaller, caller) })
	}
	send("x")
	send("x")
	require.Eventually(t, func() bool { return inFlight.Load() == 2 }, time.Second, time.Millisecond)
	queue := p.queues.get("rota", "v1")
	for i := 1; i <= 2; i++ {
		send("x")
		require.Eventually(t, func() bool { return queue.Len() == i }, time.Second, time.Millisecond)
	}
	refused := p.call(t, "GET", "/rota/1", "", HeaderCaller, "x")
	require.Equal(t, http.StatusTooManyRequests, refused.status)
	require.Equal(t, OutcomeNotRun, refused.outcome)
	for i := 3; i <= 4; i++ {
		send("y")
		require.Eventually(t, func() bool { return queue.Len() == i }, time.Second, time.Millisecond)
	}
	require.Equal(t, http.StatusServiceUnavailable, p.call(t, "GET", "/rota/1", "", HeaderCaller, "z").status)
	close(release)
	wg.Wait()
	close(done)
	for got := range done {
		require.Equal(t, OutcomeDone, got.outcome)
	}
}

// TestQueueDropsCallsThatCannotMeetTheirDeadline queues a call whose deadline passes before a slot is free.
func TestQueueDropsCallsThatCannotMeetTheirDeadline(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	defer backend.Close()
	defer close(release)
	info := serverInfo("a", backend.Listener.Addr().String())
	info.Slots = 1
	p := newTestProxy(t, Options{}, defaultSettings(tree.KeyCallTimeout, "30s"), info)
	go func() { _, _ = http.Get(p.server.URL + "/rota/1") }()
	<-entered
	deadline := strconv.FormatInt(time.Now().Add(50*time.Millisecond).UnixMilli(), 10)
	require.Equal(t, OutcomeNotRun, p.call(t, "GET", "/rota/1", "", HeaderDeadline, deadline).outcome)
}

// TestVersionShareIsKept checks that a new version with a share of 5 % gets about 5 % of the calls, also when the old
// version has no backend servers left.
func TestVersionShareIsKept(t *testing.T) {
	oldServer := newRawServer(t, func(*http.Request, int64) (string, bool) { return okResponse, false })
	newServer := newRawServer(t, func(*http.Request, int64) (string, bool) { return okResponse, false })
	p := newTestProxy(t, Options{}, defaultSettings())
	snap := snapshotOf(defaultSettings())
	snap.Services[0].Shares[0].ShareBp = 500
	snap.Services[0].Shares[0].Version = "v2"
	snap.Services[0].Shares = append(snap.Services[0].Shares, share("v1", 9500))
	infoNew := serverInfo("new", newServer.addr)
	infoNew.Version = "v2"
	p.table.Store(buildTable(snap, infoNew, serverInfo("old", oldServer.addr)))
	for range 1000 {
		require.Equal(t, OutcomeDone, p.call(t, "GET", "/rota/1", "").outcome)
	}
	require.InDelta(t, 50, newServer.requests.Load(), 35)
	p.table.Store(buildTable(snap, infoNew))
	before := newServer.requests.Load()
	for range 200 {
		p.call(t, "GET", "/rota/1", "")
	}
	require.Less(t, newServer.requests.Load()-before, int64(45), "calls of the old version do not go to the new one")
}
