package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/gate"
	"samphireflow/internal/hop"
	"samphireflow/internal/outcome"
	"samphireflow/internal/routing"
	"samphireflow/internal/tree"
)

// startStatusLine starts a backend server that answers each request with a status line and an empty body, and its gate.
func startStatusLine(t *testing.T, instance, line string) (*gate.Gate, *apiv1.BackendServer) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	names := calls.DefaultHeaders()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, line+"\r\n"+names.RequestID+": "+r.Header.Get(names.RequestID)+"\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	info := &apiv1.BackendServer{
		Instance: instance, Service: "rota", Version: "v1", Slots: 2, FailureDomain: "hobart", Node: "node-" + instance,
		Addr: listener.Addr().String(), State: apiv1.ServerState_SERVER_STATE_READY,
	}
	g := gate.New(gate.Options{
		LocalServer: func() *apiv1.BackendServer { return info },
		Headers:     names, Recorder: outcome.NewAggregator("hobart"), Logger: zerolog.Nop(), Now: time.Now,
	})
	server := httptest.NewUnstartedServer(hop.Handler(g, zerolog.Nop()))
	server.Config.ConnContext = hop.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	info.GateAddr = server.Listener.Addr().String()
	return g, info
}

// TestInvalidStatusLineIsNoResponse lets a backend server answer with status lines that the standard does not allow, beside the
// node and beside another one. A caller whose call may have run is told so at once, and a call that may be repeated gets the
// response of another backend server.
func TestInvalidStatusLineIsNoResponse(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 ", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/2.0 200 OK"} {
		for _, odd := range []string{"node-odd", "node-whole"} {
			t.Run(line+" seen by "+odd, func(t *testing.T) {
				oddGate, oddInfo := startStatusLine(t, "odd", line)
				wholeGate, wholeInfo := startStatusLine(t, "whole", "HTTP/1.1 200 OK")
				own := map[string]*gate.Gate{"node-odd": oddGate, "node-whole": wholeGate}[odd]
				call := newStatusCaller(t, odd, own, []*apiv1.BackendServer{oddInfo})
				started := time.Now()
				require.Equal(t, http.StatusBadGateway, call("POST", "/book/1"))
				require.Less(t, time.Since(started), 4*time.Second, "the caller waits until its deadline")
				call = newStatusCaller(t, odd, own, []*apiv1.BackendServer{oddInfo, wholeInfo})
				for range 4 {
					require.Equal(t, http.StatusOK, call("GET", "/lookup/1"))
				}
			})
		}
	}
}

// newStatusCaller starts a node with the given backend servers and returns a function that sends a call to it and returns the
// status of the response.
func newStatusCaller(t *testing.T, instance string, own *gate.Gate, servers []*apiv1.BackendServer) func(method, target string) int {
	routeOf := func(name, prefix string, idempotent bool) *apiv1.RouteConfig {
		return &apiv1.RouteConfig{Name: name, Service: "rota", Idempotent: idempotent, Settings: []*apiv1.Setting{
			{Key: tree.KeyRouteHost, Value: "h"}, {Key: tree.KeyRoutePrefix, Value: prefix}, {Key: tree.KeyCallTimeout, Value: "5s"},
			{Key: tree.KeyRouteObjective, Value: "4s"}, {Key: tree.KeyRouteAttempts, Value: "2"},
		}}
	}
	snap := &apiv1.Snapshot{
		Version: 1, FailureDomain: "hobart",
		Services: []*apiv1.ServiceConfig{{Name: "rota", Shares: []*apiv1.VersionShare{{Version: "v1", ShareBp: 10000}}}},
		Routes:   []*apiv1.RouteConfig{routeOf("lookup", "/lookup/", true), routeOf("book", "/book/", false)},
	}
	table := routing.Build(snap, servers, routing.NewRegistry())
	node := httptest.NewServer(New(Options{
		Instance: instance, FailureDomain: "hobart", Service: "desk", Table: func() *routing.Table { return table }, Gate: own,
		Retries: RetryLimits{Ratio: 1, Slack: 10}, Headers: calls.DefaultHeaders(), Logger: zerolog.Nop(), Now: time.Now,
		Random: func() float64 { return 0.5 },
	}))
	t.Cleanup(node.Close)
	return func(method, target string) int {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, method, node.URL+target, nil)
		require.NoError(t, err)
		request.Host = "h"
		request.Header.Set(calls.DefaultHeaders().RequestID, "id-1")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
}
