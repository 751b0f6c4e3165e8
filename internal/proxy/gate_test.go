package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/suspect"
	"samphireflow/internal/tree"
)

// discardRecorder is a Recorder that records nothing.
type discardRecorder struct{}

// Record implements Recorder.
func (discardRecorder) Record(string, string, string, bool, bool, time.Duration) {}

// testGate is the node of a backend server, as far as other nodes see it: its gate and its peer service.
type testGate struct {
	gate     *Gate
	info     *apiv1.BackendServer
	control  *httptest.Server
	state    atomic.Int32
	suspects *suspect.Tracker
	peers    atomic.Pointer[[]string]
}

func newTestGate(t testing.TB, addr string, slots, connections uint32) *testGate {
	return newNamedTestGate(t, "a", addr, slots, connections)
}

func newNamedTestGate(t testing.TB, instance, addr string, slots, connections uint32) *testGate {
	g := &testGate{info: serverInfo(instance, addr)}
	g.info.Slots, g.info.Connections = slots, connections
	g.info.StartedUnixMs = time.Now().UnixMilli()
	g.state.Store(int32(apiv1.ServerState_SERVER_STATE_READY))
	g.gate = NewGate(GateOptions{Instance: "gate-" + instance, Local: g.Announced, Started: time.Now(), Now: time.Now})
	g.peers.Store(&[]string{})
	g.suspects = suspect.NewTracker(suspect.Options{
		Peers: func() []string { return *g.peers.Load() }, Client: http.DefaultClient, Logger: zerolog.Nop(), Now: time.Now,
	})
	mux := http.NewServeMux()
	mux.Handle(g.gate.Path(), g.gate)
	service := apiv1.NewTrafficServer(NewPeerService(g, g.suspects))
	mux.Handle(service.PathPrefix(), service)
	g.control = httptest.NewServer(mux)
	t.Cleanup(g.control.Close)
	g.info.NodeControlAddr = g.control.Listener.Addr().String()
	return g
}

// Announced returns the backend server in its current state.
func (g *testGate) Announced() *apiv1.BackendServer {
	info := serverInfo(g.info.Instance, g.info.Addr)
	info.Slots, info.Connections, info.StartedUnixMs = g.info.Slots, g.info.Connections, g.info.StartedUnixMs
	info.State = apiv1.ServerState(g.state.Load())
	return info
}

// Drain drains the backend server.
func (g *testGate) Drain(context.Context, bool) (*apiv1.BackendServer, error) {
	g.state.Store(int32(apiv1.ServerState_SERVER_STATE_DRAINING))
	return g.Announced(), nil
}

// gauge counts what is in use at a time, and keeps the peak.
type gauge struct {
	mu      sync.Mutex
	current int
	peak    int
}

func (g *gauge) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current += n
	g.peak = max(g.peak, g.current)
}

// newCountingBackend starts a backend server that counts its open connections.
func newCountingBackend(t testing.TB, connections *gauge, handler http.HandlerFunc) *httptest.Server {
	backend := httptest.NewUnstartedServer(handler)
	backend.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			connections.add(1)
		case http.StateClosed, http.StateHijacked:
			connections.add(-1)
		}
	}
	backend.Start()
	t.Cleanup(backend.Close)
	return backend
}

// TestConnectionLimitIsKept lets 60 nodes call one backend server that accepts 40 connections. Together they must never
// open more.
func TestConnectionLimitIsKept(t *testing.T) {
	const nodes, connections = 60, 40
	var open gauge
	backend := newCountingBackend(t, &open, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Microsecond)
		_, _ = w.Write([]byte("ok"))
	})
	gate := newTestGate(t, backend.Listener.Addr().String(), 10, connections)
	settings := defaultSettings(tree.KeyCallTimeout, "20s")
	var done atomic.Int64
	var wg sync.WaitGroup
	for i := range nodes {
		p := newTestProxy(t, Options{Instance: fmt.Sprint("n", i), Recorder: discardRecorder{}}, settings, gate.info)
		for range 4 {
			wg.Go(func() {
				for range 10 {
					if p.call(t, "GET", "/rota/1", "").outcome == OutcomeDone {
						done.Add(1)
					}
				}
			})
		}
	}
	wg.Wait()
	require.LessOrEqual(t, open.peak, connections)
	require.Positive(t, done.Load())
	granted := 0
	for _, grants := range gate.gate.current.grants.ByNode() {
		granted += grants
	}
	require.Positive(t, granted, "some nodes hold grants")
	require.LessOrEqual(t, granted, connections-10-spareConnections)
}

func TestCallsGoDirectlyOnceGranted(t *testing.T) {
	var gated atomic.Int64
	server := newRawServer(t, func(*http.Request, int64) (string, bool) { return okResponse, false })
	gate := newTestGate(t, server.addr, 10, 130)
	counted := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gated.Add(1)
		gate.gate.ServeHTTP(w, r)
	}))
	defer counted.Close()
	gate.info.NodeControlAddr = counted.Listener.Addr().String()
	p := newTestProxy(t, Options{Recorder: discardRecorder{}}, defaultSettings(), gate.info)
	for range 50 {
		require.Equal(t, OutcomeDone, p.call(t, "GET", "/rota/1", "").outcome)
	}
	require.EqualValues(t, 1, gated.Load())
	require.EqualValues(t, 49, server.requests.Load()-gated.Load())
}

// TestGateKeepsToItsSlots sends many more calls through the gate at a time than there are slots.
func TestGateKeepsToItsSlots(t *testing.T) {
	var running gauge
	var open gauge
	backend := newCountingBackend(t, &open, func(http.ResponseWriter, *http.Request) {
		running.add(1)
		time.Sleep(time.Millisecond)
		running.add(-1)
	})
	gate := newTestGate(t, backend.Listener.Addr().String(), 4, 12)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			request := httptest.NewRequest(http.MethodGet, "http://node/gate/rota/1", nil)
			request.Header.Set(headerTarget, "a")
			request.Header.Set(HeaderCaller, fmt.Sprint(i))
			gate.gate.ServeHTTP(httptest.NewRecorder(), request)
		})
	}
	wg.Wait()
	require.LessOrEqual(t, running.peak, 4)
	require.LessOrEqual(t, open.peak, 4)
}

// TestNoCallsAfterDrain drains a backend server while the calling node's routing table still shows it as ready, as when a
// network partition keeps the node from receiving the membership. After directIdleTimeout the node must send its next call
// through the gate and so learn of the drain.
func TestNoCallsAfterDrain(t *testing.T) {
	drained := newRawServer(t, func(*http.Request, int64) (string, bool) { return okResponse, false })
	other := newRawServer(t, func(*http.Request, int64) (string, bool) { return okResponse, false })
	gateA := newNamedTestGate(t, "a", drained.addr, 10, 130)
	gateB := newNamedTestGate(t, "b", other.addr, 10, 130)
	var offset atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	p := newTestProxy(t, Options{Recorder: discardRecorder{}, Now: now}, defaultSettings(tree.KeyCallTimeout, "20s"), gateA.info, gateB.info)
	for range 40 {
		require.Equal(t, OutcomeDone, p.call(t, "GET", "/rota/1", "").outcome)
	}
	require.Positive(t, drained.requests.Load())
	_, _ = gateA.Drain(t.Context(), false)
	offset.Store(int64(directIdleTimeout + time.Millisecond))
	before := drained.requests.Load()
	for range 40 {
		require.Equal(t, OutcomeDone, p.call(t, "GET", "/rota/1", "").outcome)
	}
	require.Equal(t, before, drained.requests.Load())
}

// headerHold makes a crashingServer hold the request until the server crashes.
const headerHold = "Hold"

// headerCrash makes a crashingServer crash, whatever the path of the request.
const headerCrash = "Crash"

// crashingServer is a backend server that crashes on a request to /rota/crash: it closes its listener and all connections.
type crashingServer struct {
	*httptest.Server
	once    sync.Once
	entered chan struct{}
}

func newCrashingServer(t testing.TB) *crashingServer {
	c := &crashingServer{entered: make(chan struct{}, 1)}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server notices that a connection is closed once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/rota/crash" || r.Header.Get(headerCrash) != "" {
			c.once.Do(func() {
				_ = c.Listener.Close()
				go c.CloseClientConnections()
			})
			<-r.Context().Done()
			return
		}
		if r.Header.Get(headerHold) != "" {
			c.entered <- struct{}{}
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte("ok"))
	}))
	t.Cleanup(c.Close)
	return c
}

func (c *crashingServer) crashed() bool {
	opened, err := net.DialTimeout("tcp", c.Listener.Addr().String(), time.Second)
	if err == nil {
		_ = opened.Close()
	}
	return err != nil
}

// newCrashingGroup starts nodes, each of which sends its calls to a backend server of its own and reports crashes to the others.
func newCrashingGroup(t *testing.T, count int) ([]*testProxy, []*crashingServer) {
	var gates []*testGate
	var crashers []*crashingServer
	var nodes []*testProxy
	var peers []string
	for i := range count {
		c := newCrashingServer(t)
		gate := newNamedTestGate(t, fmt.Sprint("s", i), c.Listener.Addr().String(), 10, 130)
		gates, crashers = append(gates, gate), append(crashers, c)
		peers = append(peers, gate.control.Listener.Addr().String())
	}
	for _, gate := range gates {
		gate.peers.Store(&peers)
		nodes = append(nodes, newTestProxy(t, Options{Recorder: discardRecorder{}, Suspects: gate.suspects}, defaultSettings(), gate.info))
	}
	return nodes, crashers
}

// TestCrashingRequestIsRefusedAfterTwoCrashes sends a request that crashes each backend server through different nodes. It
// must be blocked after two crashes. Another request is in flight at both crashes too, but completes on another
// backend server in between, so it must not be blocked.
func TestCrashingRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	const count = 4
	nodes, crashers := newCrashingGroup(t, count)
	for i := range 2 {
		other := make(chan reply, 1)
		go func() { other <- nodes[i].call(t, "GET", "/rota/beside", "", headerHold, "1") }()
		<-crashers[i].entered
		require.Equal(t, OutcomeUnknown, nodes[i].call(t, "GET", "/rota/crash", "").outcome)
		require.Equal(t, OutcomeUnknown, (<-other).outcome)
		require.Eventually(t, func() bool {
			return nodes[count-1].call(t, "GET", "/rota/beside", "").outcome == OutcomeDone
		}, time.Second, time.Millisecond)
	}
	for i := 2; i < count; i++ {
		refused := nodes[i].call(t, "GET", "/rota/crash", "")
		require.Equal(t, http.StatusUnprocessableEntity, refused.status)
		require.Equal(t, OutcomeNotRun, refused.outcome)
		require.False(t, crashers[i].crashed())
		require.Eventually(t, func() bool {
			return nodes[i].call(t, "GET", "/rota/beside", "").outcome == OutcomeDone
		}, time.Second, time.Millisecond, "the other request is not blocked")
	}
	require.True(t, crashers[0].crashed() && crashers[1].crashed())
}

// TestCrashingRequestIsRefusedForItsCallerOnly guards against a request that another caller's request on the same path, or one
// with another body, clears, or that blocks them.
func TestCrashingRequestIsRefusedForItsCallerOnly(t *testing.T) {
	for _, request := range []struct{ method, path, body, other string }{
		{"GET", "/rota/1", "", ""}, {"POST", "/shifts/1", "crash", "other"},
	} {
		const count = 5
		nodes, crashers := newCrashingGroup(t, count)
		send := func(node int, caller, body string, more ...string) reply {
			return nodes[node].call(t, request.method, request.path, body, append(more, HeaderCaller, caller)...)
		}
		for i := range count {
			got := send(i, "desk", request.body, headerCrash, "1")
			if i < 2 {
				require.Equal(t, OutcomeUnknown, got.outcome)
			} else {
				require.Equal(t, http.StatusUnprocessableEntity, got.status)
			}
			for n := max(i, 2); n < count; n++ {
				require.Equal(t, OutcomeDone, send(n, "board", request.body).outcome, "another caller")
				if request.other != request.body {
					require.Equal(t, OutcomeDone, send(n, "desk", request.other).outcome, "another body")
				}
			}
		}
		require.True(t, crashers[0].crashed() && crashers[1].crashed() && !crashers[2].crashed())
	}
}

// TestRequestThatCompletedIsRefusedOnceItCrashes guards against a request that may crash any number of backend servers because it
// completed earlier.
func TestRequestThatCompletedIsRefusedOnceItCrashes(t *testing.T) {
	const count = 6
	nodes, crashers := newCrashingGroup(t, count)
	require.Equal(t, OutcomeDone, nodes[count-1].call(t, "GET", "/rota/1", "").outcome)
	require.Equal(t, OutcomeUnknown, nodes[0].call(t, "GET", "/rota/1", "", headerCrash, "1").outcome)
	require.Equal(t, OutcomeDone, nodes[count-1].call(t, "GET", "/rota/1", "").outcome, "in flight at one crash")
	require.Eventually(t, func() bool {
		return nodes[1].call(t, "GET", "/rota/1", "").outcome == OutcomeDone
	}, time.Second, time.Millisecond)
	for i := 1; i < count; i++ {
		nodes[i].call(t, "GET", "/rota/1", "", headerCrash, "1")
	}
	crashes := 0
	for _, c := range crashers[1:] {
		if c.crashed() {
			crashes++
		}
	}
	require.LessOrEqual(t, crashes, 3)
	require.Equal(t, http.StatusUnprocessableEntity, nodes[count-1].call(t, "GET", "/rota/1", "").status)
}

// TestOneCallCrashesAtMostTwoBackendServers lets a node retry an idempotent request that crashes each backend server. The
// retries within one call must stop after two crashes, although the retry limit permits more.
func TestOneCallCrashesAtMostTwoBackendServers(t *testing.T) {
	var infos []*apiv1.BackendServer
	var crashers []*crashingServer
	var gate *testGate
	for i := range 4 {
		c := newCrashingServer(t)
		gate = newNamedTestGate(t, fmt.Sprint("s", i), c.Listener.Addr().String(), 10, 130)
		infos, crashers = append(infos, gate.info), append(crashers, c)
	}
	p := newTestProxy(t, Options{Recorder: discardRecorder{}, Suspects: gate.suspects}, defaultSettings(tree.KeyRetryLimit, "5"), infos...)
	require.Equal(t, OutcomeUnknown, p.call(t, "GET", "/rota/crash", "").outcome)
	require.Equal(t, OutcomeNotRun, p.call(t, "GET", "/rota/crash", "").outcome)
	crashes := 0
	for _, c := range crashers {
		if c.crashed() {
			crashes++
		}
	}
	require.Equal(t, 2, crashes)
}

// TestProbeReportsOnlyTheRunningIncarnation probes the running incarnation of a backend server and one that does not run.
func TestProbeReportsOnlyTheRunningIncarnation(t *testing.T) {
	server := newRawServer(t, func(*http.Request, int64) (string, bool) { return okResponse, false })
	gate := newTestGate(t, server.addr, 10, 130)
	service := NewPeerService(gate, gate.suspects)
	probe := func(incarnation uint64) bool {
		response, err := service.Probe(context.Background(), &apiv1.ProbeServerRequest{Instance: "a", Incarnation: incarnation})
		require.NoError(t, err)
		return response.Alive
	}
	require.True(t, probe(1))
	require.False(t, probe(2))
}
