package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
	"samphireflow/internal/tree"
)

// headerCrash marks the sends of a request that crashes backend servers. It is no part of what identifies a request.
const headerCrash = "Crash"

// crashingServers are three backend servers of the service "rota", and their nodes as far as others see them. One that has
// crashed is back at once as its next incarnation.
type crashingServers struct {
	apiv1.Traffic
	nodes *httptest.Server

	mu       sync.Mutex
	version  string
	started  map[string]uint64
	crashes  int
	table    *routing.Table
	registry *routing.Registry
}

func newCrashingServers(t *testing.T) *crashingServers {
	s := &crashingServers{version: "v1", started: map[string]uint64{}, registry: routing.NewRegistry()}
	s.nodes = httptest.NewServer(apiv1.NewTrafficServer(s))
	t.Cleanup(s.nodes.Close)
	s.update(func() {})
	return s
}

// update changes the backend servers and builds the routing table anew.
func (s *crashingServers) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	snap := &apiv1.Snapshot{
		Version: 1, FailureDomain: "hobart",
		Services: []*apiv1.ServiceConfig{{Name: "rota", Shares: []*apiv1.VersionShare{{Version: s.version, ShareBp: 10000}}}},
	}
	for _, name := range []string{"lookup", "book"} {
		snap.Routes = append(snap.Routes, &apiv1.RouteConfig{Name: name, Service: "rota", Idempotent: name == "lookup", Settings: []*apiv1.Setting{
			{Key: tree.KeyRouteHost, Value: "h"}, {Key: tree.KeyRoutePrefix, Value: "/" + name + "/"}, {Key: tree.KeyCallTimeout, Value: "2s"},
			{Key: tree.KeyRouteObjective, Value: "300ms"}, {Key: tree.KeyRouteAttempts, Value: "2"},
		}})
	}
	var servers []*apiv1.BackendServer
	for _, name := range []string{"a", "b", "c"} {
		servers = append(servers, &apiv1.BackendServer{
			Instance: name, Service: "rota", Version: s.version, Incarnation: s.started[name], Slots: 9, Node: "self", FailureDomain: "hobart",
			State: apiv1.ServerState_SERVER_STATE_READY, NodeControlAddr: s.nodes.Listener.Addr().String(),
		})
	}
	s.table = routing.Build(snap, servers, s.registry)
}

// Probe implements the service of the nodes.
func (s *crashingServers) Probe(_ context.Context, request *apiv1.ProbeServerRequest) (*apiv1.ProbeServerResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &apiv1.ProbeServerResponse{Alive: s.started[request.Instance] == request.Incarnation}, nil
}

// crash crashes a backend server.
func (s *crashingServers) crash(instance string) {
	s.update(func() {
		s.crashes++
		s.started[instance]++
	})
}

// Pass implements Gate.
func (s *crashingServers) Pass(_ context.Context, c *calls.Call, instance string, _ time.Time) *calls.Result {
	if c.Stream != nil {
		// A backend server begins its work before the body has arrived.
		_, _ = io.ReadFull(c.Stream, make([]byte, 16))
	}
	if c.Header.Get(headerCrash) != "" {
		s.crash(instance)
		return &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken}
	}
	if c.Stream != nil {
		if _, err := io.Copy(io.Discard, c.Stream); err != nil {
			return &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken}
		}
	}
	return answeredResult(http.StatusOK, "ok")
}

// RepeatedShare implements Gate.
func (s *crashingServers) RepeatedShare() float64 { return 0 }

// current returns the routing table.
func (s *crashingServers) current() *routing.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// callersOf returns the ingress of an instance of a service. All of them share a tracker, as if reports took no time.
func (s *crashingServers) callersOf(service string, tracker *suspect.Tracker) *Ingress {
	return New(Options{
		Instance: "self", FailureDomain: "hobart", Service: service, Table: s.current, Gate: s, Suspects: tracker,
		Headers: calls.DefaultHeaders(), Logger: zerolog.Nop(), Now: time.Now, Random: func() float64 { return 0.5 },
		Retries: RetryLimits{Ratio: 1, Slack: 1000},
	})
}

func newTestTracker() *suspect.Tracker {
	return suspect.NewTracker(suspect.Options{
		Peers: func() []string { return nil }, Client: http.DefaultClient, Logger: zerolog.Nop(), Now: time.Now,
	})
}

// bodyKind is a way to send a body.
type bodyKind int

const (
	withLength bodyKind = iota
	inChunks
)

// send sends a request through an ingress and returns the status.
func send(i *Ingress, path, body string, kind bodyKind, crashes bool) int {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if kind == inChunks {
		request = httptest.NewRequest(http.MethodPost, path, iotest.HalfReader(strings.NewReader(body)))
		request.ContentLength, request.TransferEncoding = -1, []string{"chunked"}
	}
	request.RequestURI, request.Host = path, "h"
	request.Header.Set(calls.DefaultHeaders().RequestID, "id-1")
	if crashes {
		request.Header.Set(headerCrash, "1")
	}
	recorder := httptest.NewRecorder()
	i.ServeHTTP(recorder, request)
	return recorder.Code
}

// crashBodies are bodies that a node buffers and bodies that it passes on as it reads them. Of the latter, two differ in their
// last byte alone.
var crashBodies = []struct {
	name         string
	crash, other string
}{
	{"no body", "", ""},
	{"short", "crash", "other"},
	{"long", strings.Repeat("x", 80_000) + "1", strings.Repeat("x", 80_000) + "2"},
}

// TestCrashingRequestIsBlockedBesideOtherCallers guards against a request that crashes backend servers and is cleared, or blocks
// others, because the same path is sent by another caller or with another body.
func TestCrashingRequestIsBlockedBesideOtherCallers(t *testing.T) {
	for _, bodies := range crashBodies {
		for _, kinds := range [][2]bodyKind{{withLength, withLength}, {inChunks, inChunks}, {withLength, inChunks}} {
			t.Run(fmt.Sprint(bodies.name, kinds), func(t *testing.T) {
				s, tracker := newCrashingServers(t), newTestTracker()
				desk, board := s.callersOf("desk", tracker), s.callersOf("board", tracker)
				for n := range 8 {
					send(desk, "/lookup/1", bodies.crash, kinds[n%2], true)
					require.Equal(t, http.StatusOK, send(board, "/lookup/1", bodies.crash, kinds[n%2], false), "another caller")
					if bodies.other != bodies.crash {
						require.Equal(t, http.StatusOK, send(desk, "/lookup/1", bodies.other, kinds[n%2], false), "another body")
					}
					require.Equal(t, http.StatusOK, send(desk, "/lookup/2", bodies.crash, kinds[n%2], false), "another path")
				}
				require.Equal(t, 2, s.crashes)
				require.Equal(t, http.StatusServiceUnavailable, send(desk, "/lookup/1", bodies.crash, kinds[0], true))
			})
		}
	}
}

// TestRequestThatRanBeforeItCrashesIsBlocked guards against a request that is never blocked because it completed earlier: at the
// version before, or after a crash at which it was in flight by chance.
func TestRequestThatRanBeforeItCrashesIsBlocked(t *testing.T) {
	for _, bodies := range crashBodies {
		t.Run(bodies.name, func(t *testing.T) {
			s, tracker := newCrashingServers(t), newTestTracker()
			desk := s.callersOf("desk", tracker)
			for range 3 {
				require.Equal(t, http.StatusOK, send(desk, "/lookup/1", bodies.crash, withLength, false))
			}
			send(desk, "/lookup/1", bodies.crash, withLength, true)
			require.Equal(t, http.StatusOK, send(desk, "/lookup/1", bodies.crash, withLength, false), "in flight at one or two crashes")
			before := s.crashes
			for range 8 {
				send(desk, "/lookup/1", bodies.crash, withLength, true)
			}
			require.LessOrEqual(t, s.crashes-before, 3)

			s.update(func() { s.version = "v2" })
			require.Equal(t, http.StatusOK, send(desk, "/lookup/2", bodies.crash, withLength, false))
			before = s.crashes
			for range 8 {
				send(desk, "/lookup/3", bodies.crash, withLength, true)
			}
			require.Equal(t, 2, s.crashes-before, "a request that has never completed")
		})
	}
}

// TestRequestIsBlockedAtTheVersionThatItCrashes guards against a new version of a service that a request crashes again and again
// because the request completed at the old one.
func TestRequestIsBlockedAtTheVersionThatItCrashes(t *testing.T) {
	s, tracker := newCrashingServers(t), newTestTracker()
	desk := s.callersOf("desk", tracker)
	require.Equal(t, http.StatusOK, send(desk, "/lookup/1", "", withLength, false))
	send(desk, "/lookup/1", "", withLength, true)
	require.Equal(t, http.StatusOK, send(desk, "/lookup/1", "", withLength, false))
	s.update(func() { s.version = "v2" })
	before := s.crashes
	for range 8 {
		send(desk, "/lookup/1", "", withLength, true)
	}
	require.LessOrEqual(t, s.crashes-before, 3)
	s.update(func() { s.version = "v1" })
	require.Equal(t, http.StatusOK, send(desk, "/lookup/1", "", withLength, false), "the version at which it completes")
}

// TestRequestInFlightAtCrashesOfOneMomentIsServed guards against an innocent request that is refused because several backend servers
// crashed at one moment with it in flight.
func TestRequestInFlightAtCrashesOfOneMomentIsServed(t *testing.T) {
	s, tracker := newCrashingServers(t), newTestTracker()
	var begun, ended sync.WaitGroup
	begun.Add(2)
	for _, instance := range []string{"a", "b"} {
		desk := s.callersOf("desk", tracker)
		desk.options.Gate = gateFunc(func(_ *calls.Call, _ string, _ time.Time) *calls.Result {
			begun.Done()
			begun.Wait()
			s.crash(instance)
			return &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken}
		})
		ended.Go(func() { send(desk, "/book/1", "body", withLength, false) })
	}
	ended.Wait()
	require.Equal(t, http.StatusOK, send(s.callersOf("desk", tracker), "/book/1", "body", withLength, false))
}

// TestResponseThatBreaksOffIsNoCompletion guards against a request that is cleared by the beginning of a long response in the
// middle of which its backend server crashes.
func TestResponseThatBreaksOffIsNoCompletion(t *testing.T) {
	s, tracker := newCrashingServers(t), newTestTracker()
	desk := s.callersOf("desk", tracker)
	crashing := gateFunc(func(_ *calls.Call, instance string, _ time.Time) *calls.Result {
		result := answeredResult(http.StatusOK, "beginning")
		result.Response.Length = -1
		result.Response.Rest = &brokenRest{crash: func() { s.crash(instance) }}
		result.Response.PieceBytes = 1024
		return result
	})
	desk.options.Gate = crashing
	for range 2 {
		require.Panics(t, func() { send(desk, "/lookup/1", "", withLength, false) }, "a response that breaks off must not look complete")
	}
	require.Equal(t, 2, s.crashes)
	require.Equal(t, http.StatusServiceUnavailable, send(desk, "/lookup/1", "", withLength, false))
}

// brokenRest is the rest of a response during which the backend server crashes.
type brokenRest struct{ crash func() }

// Read implements io.Reader.
func (r *brokenRest) Read([]byte) (int, error) {
	r.crash()
	return 0, io.ErrUnexpectedEOF
}

// Close implements io.Closer.
func (r *brokenRest) Close() error { return nil }

var _ io.ReadCloser = (*brokenRest)(nil)
