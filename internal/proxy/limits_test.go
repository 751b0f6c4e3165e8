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

const shedAnswer = "HTTP/1.1 503 S\r\nSamphireflow-Shed: 1\r\nContent-Length: 0\r\n\r\n"

func TestOnlyTheFirstNodeRetries(t *testing.T) {
	for _, c := range []struct {
		depth    string
		attempts int64
	}{{"", 2}, {"3", 1}} {
		var attempts atomic.Int64
		shedding := func(*http.Request, int64) (string, bool) {
			attempts.Add(1)
			return shedAnswer, false
		}
		a, b := newRawServer(t, shedding), newRawServer(t, shedding)
		r := newRig(t, Options{}, defaults(), serverInfo("a", a.addr), serverInfo("b", b.addr))
		require.Equal(t, OutcomeNotRun, r.call(t, "GET", "/rota/1", "", HeaderDepth, c.depth).outcome)
		require.Equal(t, c.attempts, attempts.Load())
	}
}

// TestRetriesStayWithinTheBudget breaks every attempt of an outage and counts them.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const calls = 400
	var attempts atomic.Int64
	var addrs []string
	for range 4 {
		server := newRawServer(t, func(*http.Request, int64) (string, bool) {
			attempts.Add(1)
			return shedAnswer, false
		})
		addrs = append(addrs, server.addr)
	}
	r := newRig(t, Options{}, defaults(), serverInfo("a", addrs[0]), serverInfo("b", addrs[1]), serverInfo("c", addrs[2]), serverInfo("d", addrs[3]))
	for range calls {
		require.Equal(t, OutcomeNotRun, r.call(t, "GET", "/rota/1", "").outcome)
	}
	require.LessOrEqual(t, attempts.Load(), int64(calls*1.1+10))
	require.Greater(t, attempts.Load(), int64(calls))
}

func TestBrokenBookingIsNotRetried(t *testing.T) {
	hangUp := func(*http.Request, int64) (string, bool) { return "", true }
	a, b := newRawServer(t, hangUp), newRawServer(t, hangUp)
	r := newRig(t, Options{}, defaults(), serverInfo("a", a.addr), serverInfo("b", b.addr))
	require.Equal(t, OutcomeUnknown, r.call(t, "POST", "/shifts/1", "").outcome)
	require.EqualValues(t, 1, a.requests.Load()+b.requests.Load())
	require.Equal(t, OutcomeUnknown, r.call(t, "GET", "/rota/1", "").outcome)
	require.EqualValues(t, 3, a.requests.Load()+b.requests.Load(), "a lookup is tried at both")
}

// TestOverloadIsRefusedQuickly holds all slots, fills the queue and checks who is refused.
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
	r := newRig(t, Options{}, defaults(tree.KeyQueueLength, "4", tree.KeyCallerShare, "0.5", tree.KeyCallTimeout, "30s"), info)
	var wg sync.WaitGroup
	done := make(chan reply, 16)
	send := func(caller string) {
		wg.Go(func() { done <- r.call(t, "GET", "/rota/1", "", HeaderCaller, caller) })
	}
	send("x")
	send("x")
	require.Eventually(t, func() bool { return inFlight.Load() == 2 }, time.Second, time.Millisecond)
	queue := r.queues.get("rota", "v1")
	for i := 1; i <= 2; i++ {
		send("x")
		require.Eventually(t, func() bool { return queue.Len() == i }, time.Second, time.Millisecond)
	}
	refused := r.call(t, "GET", "/rota/1", "", HeaderCaller, "x")
	require.Equal(t, http.StatusTooManyRequests, refused.status)
	require.Equal(t, OutcomeNotRun, refused.outcome)
	for i := 3; i <= 4; i++ {
		send("y")
		require.Eventually(t, func() bool { return queue.Len() == i }, time.Second, time.Millisecond)
	}
	require.Equal(t, http.StatusServiceUnavailable, r.call(t, "GET", "/rota/1", "", HeaderCaller, "z").status)
	close(release)
	wg.Wait()
	close(done)
	for got := range done {
		require.Equal(t, OutcomeDone, got.outcome)
	}
}

// TestQueueDropsWhatCannotMakeIt lets a call wait whose deadline comes before a slot is free.
func TestQueueDropsWhatCannotMakeIt(t *testing.T) {
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
	r := newRig(t, Options{}, defaults(tree.KeyCallTimeout, "30s"), info)
	go func() { _, _ = http.Get(r.front.URL + "/rota/1") }()
	<-entered
	deadline := strconv.FormatInt(time.Now().Add(50*time.Millisecond).UnixMilli(), 10)
	require.Equal(t, OutcomeNotRun, r.call(t, "GET", "/rota/1", "", HeaderDeadline, deadline).outcome)
}

func TestVersionShareHolds(t *testing.T) {
	oldServer := newRawServer(t, func(*http.Request, int64) (string, bool) { return okAnswer, false })
	newServer := newRawServer(t, func(*http.Request, int64) (string, bool) { return okAnswer, false })
	r := newRig(t, Options{}, defaults())
	snap := snapshotOf(defaults())
	snap.Services[0].Shares[0].ShareBp = 500
	snap.Services[0].Shares[0].Version = "v2"
	snap.Services[0].Shares = append(snap.Services[0].Shares, share("v1", 9500))
	infoNew := serverInfo("new", newServer.addr)
	infoNew.Version = "v2"
	r.table.Store(build(snap, infoNew, serverInfo("old", oldServer.addr)))
	for range 1000 {
		require.Equal(t, OutcomeDone, r.call(t, "GET", "/rota/1", "").outcome)
	}
	require.InDelta(t, 50, newServer.requests.Load(), 35)
	r.table.Store(build(snap, infoNew))
	before := newServer.requests.Load()
	for range 200 {
		r.call(t, "GET", "/rota/1", "")
	}
	require.Less(t, newServer.requests.Load()-before, int64(45), "the old version passes nothing to the new one")
}
