package proxy

import (
	"context"
	"fmt"
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

// discard records nothing.
type discard struct{}

// Record does nothing.
func (discard) Record(string, string, string, bool, bool, time.Duration) {}

// gateRig is a backend server with the node beside it, as far as other nodes see that node.
type gateRig struct {
	gate     *Gate
	info     *apiv1.BackendServer
	control  *httptest.Server
	state    atomic.Int32
	suspects *suspect.Tracker
	peers    atomic.Pointer[[]string]
}

func newGateRig(t testing.TB, addr string, slots, connections uint32) *gateRig {
	return newNamedGateRig(t, "a", addr, slots, connections)
}

func newNamedGateRig(t testing.TB, instance, addr string, slots, connections uint32) *gateRig {
	g := &gateRig{info: serverInfo(instance, addr)}
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

// Announced returns the backend server in its present state.
func (g *gateRig) Announced() *apiv1.BackendServer {
	told := serverInfo(g.info.Instance, g.info.Addr)
	told.Slots, told.Connections, told.StartedUnixMs = g.info.Slots, g.info.Connections, g.info.StartedUnixMs
	told.State = apiv1.ServerState(g.state.Load())
	return told
}

// Drain takes the backend server out of service.
func (g *gateRig) Drain(bool) *apiv1.BackendServer {
	g.state.Store(int32(apiv1.ServerState_SERVER_STATE_DRAINING))
	return g.Announced()
}

// gauge counts and remembers the most at one time.
type gauge struct {
	mu   sync.Mutex
	now  int
	most int
}

func (g *gauge) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now += n
	g.most = max(g.most, g.now)
}

// limitedBackend answers after a moment and counts its connections.
func limitedBackend(t testing.TB, connections *gauge, handler http.HandlerFunc) *httptest.Server {
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

// TestConnectionsAreNeverPassed lets 60 nodes call one backend server that accepts 40 connections.
func TestConnectionsAreNeverPassed(t *testing.T) {
	const nodes, connections = 60, 40
	var open gauge
	backend := limitedBackend(t, &open, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Microsecond)
		_, _ = w.Write([]byte("ok"))
	})
	gate := newGateRig(t, backend.Listener.Addr().String(), 10, connections)
	settings := defaults(tree.KeyCallTimeout, "20s")
	var done atomic.Int64
	var wg sync.WaitGroup
	for i := range nodes {
		r := newRig(t, Options{Instance: fmt.Sprint("n", i), Recorder: discard{}}, settings, gate.info)
		for range 4 {
			wg.Go(func() {
				for range 10 {
					if r.call(t, "GET", "/rota/1", "").outcome == OutcomeDone {
						done.Add(1)
					}
				}
			})
		}
	}
	wg.Wait()
	require.LessOrEqual(t, open.most, connections)
	require.Positive(t, done.Load())
	granted := 0
	for _, grants := range gate.gate.current.ledger.ByNode() {
		granted += grants
	}
	require.Positive(t, granted, "some nodes go directly")
	require.LessOrEqual(t, granted, connections-10-gateSpare)
}

func TestCallsGoDirectlyOnceGranted(t *testing.T) {
	var gated atomic.Int64
	server := newRawServer(t, func(*http.Request, int64) (string, bool) { return okAnswer, false })
	gate := newGateRig(t, server.addr, 10, 130)
	counted := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gated.Add(1)
		gate.gate.ServeHTTP(w, r)
	}))
	defer counted.Close()
	gate.info.NodeControlAddr = counted.Listener.Addr().String()
	r := newRig(t, Options{Recorder: discard{}}, defaults(), gate.info)
	for range 50 {
		require.Equal(t, OutcomeDone, r.call(t, "GET", "/rota/1", "").outcome)
	}
	require.EqualValues(t, 1, gated.Load())
	require.EqualValues(t, 49, server.requests.Load()-gated.Load())
}

// TestGateHoldsTheSlots sends far more calls through the gate than there are slots.
func TestGateHoldsTheSlots(t *testing.T) {
	var running gauge
	var open gauge
	backend := limitedBackend(t, &open, func(http.ResponseWriter, *http.Request) {
		running.add(1)
		time.Sleep(time.Millisecond)
		running.add(-1)
	})
	gate := newGateRig(t, backend.Listener.Addr().String(), 4, 12)
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
	require.LessOrEqual(t, running.most, 4)
	require.LessOrEqual(t, open.most, 4)
}

// TestNoNewWorkAfterADrain drains a backend server of which a node that is cut off from the membership hears nothing.
func TestNoNewWorkAfterADrain(t *testing.T) {
	drained := newRawServer(t, func(*http.Request, int64) (string, bool) { return okAnswer, false })
	other := newRawServer(t, func(*http.Request, int64) (string, bool) { return okAnswer, false })
	gateA := newNamedGateRig(t, "a", drained.addr, 10, 130)
	gateB := newNamedGateRig(t, "b", other.addr, 10, 130)
	var offset atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	r := newRig(t, Options{Recorder: discard{}, Now: now}, defaults(tree.KeyCallTimeout, "20s"), gateA.info, gateB.info)
	for range 40 {
		require.Equal(t, OutcomeDone, r.call(t, "GET", "/rota/1", "").outcome)
	}
	require.Positive(t, drained.requests.Load())
	gateA.Drain(false)
	offset.Store(int64(directIdle + time.Millisecond))
	before := drained.requests.Load()
	for range 40 {
		require.Equal(t, OutcomeDone, r.call(t, "GET", "/rota/1", "").outcome)
	}
	require.Equal(t, before, drained.requests.Load())
}

// headerHold makes a crasher hold a request until it dies.
const headerHold = "Hold"

// crasher is a backend server that dies under a marked request: it closes its listener and all connections.
type crasher struct {
	*httptest.Server
	once    sync.Once
	entered chan struct{}
}

func newCrasher(t testing.TB) *crasher {
	c := &crasher{entered: make(chan struct{}, 1)}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/rota/crash" {
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

func (c *crasher) dead() bool {
	opened, err := net.DialTimeout("tcp", c.Listener.Addr().String(), time.Second)
	if err == nil {
		_ = opened.Close()
	}
	return err != nil
}

// TestCrashingRequestIsRefusedAfterTwoDeaths sends a request that kills whatever runs it through different nodes. An
// innocent request is in flight beside it each time, and completes elsewhere in between.
func TestCrashingRequestIsRefusedAfterTwoDeaths(t *testing.T) {
	const count = 4
	var gates []*gateRig
	var crashers []*crasher
	var nodes []*rig
	var peers []string
	for i := range count {
		c := newCrasher(t)
		gate := newNamedGateRig(t, fmt.Sprint("s", i), c.Listener.Addr().String(), 10, 130)
		gates, crashers = append(gates, gate), append(crashers, c)
		peers = append(peers, gate.control.Listener.Addr().String())
	}
	for _, gate := range gates {
		gate.peers.Store(&peers)
		nodes = append(nodes, newRig(t, Options{Recorder: discard{}, Suspects: gate.suspects}, defaults(), gate.info))
	}
	for i := range 2 {
		beside := make(chan reply, 1)
		go func() { beside <- nodes[i].call(t, "GET", "/rota/beside", "", headerHold, "1") }()
		<-crashers[i].entered
		require.Equal(t, OutcomeUnknown, nodes[i].call(t, "GET", "/rota/crash", "").outcome)
		require.Equal(t, OutcomeUnknown, (<-beside).outcome)
		require.Eventually(t, func() bool {
			return nodes[count-1].call(t, "GET", "/rota/beside", "").outcome == OutcomeDone
		}, time.Second, time.Millisecond)
	}
	for i := 2; i < count; i++ {
		refused := nodes[i].call(t, "GET", "/rota/crash", "")
		require.Equal(t, http.StatusUnprocessableEntity, refused.status)
		require.Equal(t, OutcomeNotRun, refused.outcome)
		require.False(t, crashers[i].dead())
		require.Eventually(t, func() bool {
			return nodes[i].call(t, "GET", "/rota/beside", "").outcome == OutcomeDone
		}, time.Second, time.Millisecond, "an innocent goes on")
	}
	require.True(t, crashers[0].dead() && crashers[1].dead())
}

// TestOneCallRisksTwoBackendServers lets a node retry an idempotent request that kills whatever runs it.
func TestOneCallRisksTwoBackendServers(t *testing.T) {
	var infos []*apiv1.BackendServer
	var crashers []*crasher
	var gate *gateRig
	for i := range 4 {
		c := newCrasher(t)
		gate = newNamedGateRig(t, fmt.Sprint("s", i), c.Listener.Addr().String(), 10, 130)
		infos, crashers = append(infos, gate.info), append(crashers, c)
	}
	r := newRig(t, Options{Recorder: discard{}, Suspects: gate.suspects}, defaults(tree.KeyRetryLimit, "5"), infos...)
	require.Equal(t, OutcomeUnknown, r.call(t, "GET", "/rota/crash", "").outcome)
	require.Equal(t, OutcomeNotRun, r.call(t, "GET", "/rota/crash", "").outcome)
	deaths := 0
	for _, c := range crashers {
		if c.dead() {
			deaths++
		}
	}
	require.Equal(t, 2, deaths)
}

// TestProbeTellsTheDead checks what the node beside a backend server says of it.
func TestProbeTellsTheDead(t *testing.T) {
	server := newRawServer(t, func(*http.Request, int64) (string, bool) { return okAnswer, false })
	gate := newGateRig(t, server.addr, 10, 130)
	service := NewPeerService(gate, gate.suspects)
	probe := func(incarnation uint64) bool {
		response, err := service.Probe(context.Background(), &apiv1.ProbeServerRequest{Instance: "a", Incarnation: incarnation})
		require.NoError(t, err)
		return response.Alive
	}
	require.True(t, probe(1))
	require.False(t, probe(2))
}
