package traffic

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/outcome"
	"samphireflow/internal/proxy"
	"samphireflow/internal/routing"
	"samphireflow/internal/tree"
)

// slots limits the calls that run at a time. Further calls wait, up to a limit.
type slots struct {
	free  chan struct{}
	queue int64
	// pending counts the calls that run or wait.
	pending atomic.Int64
}

// acquire waits for a slot. It returns false when the queue is full or the caller leaves first.
func (s *slots) acquire(r *http.Request) bool {
	if s.pending.Add(1) > int64(cap(s.free))+s.queue {
		s.pending.Add(-1)
		return false
	}
	select {
	case s.free <- struct{}{}:
		return true
	case <-r.Context().Done():
		s.pending.Add(-1)
		return false
	}
}

func (s *slots) release() {
	<-s.free
	s.pending.Add(-1)
}

// backend is a backend server in this process.
type backend struct {
	server *httptest.Server
	slots  slots
	work   time.Duration
	calls  atomic.Int64
}

func newBackend(slotCount int, queue int64, work time.Duration) *backend {
	b := &backend{work: work, slots: slots{free: make(chan struct{}, slotCount), queue: queue}}
	b.server = httptest.NewServer(b)
	return b
}

// ServeHTTP runs a call in a slot, and sheds it when the queue is full.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.calls.Add(1)
	w.Header().Set(proxy.HeaderLoad, fmt.Sprintf("%d/%d", b.slots.pending.Load(), cap(b.slots.free)))
	if !b.slots.acquire(r) {
		w.Header().Set(proxy.HeaderShed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(b.work)
	b.slots.release()
	_, _ = w.Write([]byte("ok"))
}

func (b *backend) info(service, instance string) *apiv1.BackendServer {
	return &apiv1.BackendServer{
		Instance: instance, FailureDomain: "hobart", Service: service, Version: "v1",
		Addr: b.server.Listener.Addr().String(), Slots: uint32(cap(b.slots.free)), Connections: 130,
		State: apiv1.ServerState_SERVER_STATE_READY, Incarnation: 1,
	}
}

// defaultSettings lists the default settings, overridden by the given keys and values in turn.
func defaultSettings(pairs ...string) []*apiv1.Setting {
	var list []*apiv1.Setting
	for _, spec := range tree.Specs() {
		if spec.Default != "" {
			list = append(list, &apiv1.Setting{Key: spec.Key, Value: spec.Default})
		}
	}
	for i := 0; i < len(pairs); i += 2 {
		list = append(list, &apiv1.Setting{Key: pairs[i], Value: pairs[i+1]})
	}
	return list
}

// newNode starts a node in this process that serves the routes GET /SERVICE/* of the given services.
func newNode(settings []*apiv1.Setting, services []string, servers ...*apiv1.BackendServer) *httptest.Server {
	snap := &apiv1.Snapshot{FailureDomain: "hobart"}
	for _, name := range services {
		snap.Services = append(snap.Services, &apiv1.ServiceConfig{
			Name: name, Settings: settings, Shares: []*apiv1.VersionShare{{Version: "v1", ShareBp: 10000}},
		})
		snap.Routes = append(snap.Routes, &apiv1.RouteConfig{
			Name: name, Service: name, Method: http.MethodGet, Path: "/" + name + "/*", Idempotent: true, Settings: settings,
		})
	}
	table := routing.Build(snap, servers, routing.NewRegistry())
	return httptest.NewServer(proxy.New(proxy.Options{
		Instance: "bench",
		Table:    func() *routing.Table { return table },
		Recorder: outcome.NewAggregator("hobart"),
		Logger:   zerolog.Nop(),
	}))
}
