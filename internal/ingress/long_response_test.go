package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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

// startLongResponses starts a backend server whose responses have the given length, and returns its gate.
func startLongResponses(t *testing.T, length int) (*gate.Gate, *apiv1.BackendServer) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		names := calls.DefaultHeaders()
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = io.WriteString(w, strings.Repeat("x", length))
	}))
	t.Cleanup(backend.Close)
	info := &apiv1.BackendServer{
		Instance: "a", Service: "rota", Version: "v1", Slots: 2, FailureDomain: "hobart", Node: "far",
		Addr: backend.Listener.Addr().String(), State: apiv1.ServerState_SERVER_STATE_READY,
	}
	g := gate.New(gate.Options{
		LocalServer: func() *apiv1.BackendServer { return info },
		Headers:     calls.DefaultHeaders(), Recorder: outcome.NewAggregator("hobart"), Logger: zerolog.Nop(), Now: time.Now,
	})
	server := httptest.NewUnstartedServer(hop.Handler(g, zerolog.Nop()))
	server.Config.ConnContext = hop.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	info.GateAddr = server.Listener.Addr().String()
	return g, info
}

// TestLongResponsesAreForwardedWhole guards against responses that are cut off after the buffered start, because the exchange
// that the rest is read from ended as soon as the response was known.
func TestLongResponsesAreForwardedWhole(t *testing.T) {
	const length = 3 << 20
	for _, node := range []string{"self", "far"} {
		t.Run("gate of "+node, func(t *testing.T) {
			g, info := startLongResponses(t, length)
			info.Node = node
			snap := &apiv1.Snapshot{
				Version: 1, FailureDomain: "hobart",
				Services: []*apiv1.ServiceConfig{{Name: "rota", Shares: []*apiv1.VersionShare{{Version: "v1", ShareBp: 10000}}}},
				Routes: []*apiv1.RouteConfig{{Name: "lookup", Service: "rota", Settings: []*apiv1.Setting{
					{Key: tree.KeyRouteHost, Value: "h"}, {Key: tree.KeyRoutePrefix, Value: "/"}, {Key: tree.KeyCallTimeout, Value: "10s"},
					{Key: tree.KeyRouteObjective, Value: "5s"}, {Key: tree.KeyRouteAttempts, Value: "1"},
				}}},
			}
			table := routing.Build(snap, []*apiv1.BackendServer{info}, routing.NewRegistry())
			node := httptest.NewServer(New(Options{
				Instance: "self", FailureDomain: "hobart", Service: "desk", Table: func() *routing.Table { return table }, Gate: g,
				Headers: calls.DefaultHeaders(), Logger: zerolog.Nop(), Now: time.Now, Random: func() float64 { return 0.5 },
			}))
			defer node.Close()
			for range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, node.URL+"/long", nil)
				require.NoError(t, err)
				request.Host = "h"
				request.Header.Set(calls.DefaultHeaders().RequestID, "id-1")
				response, err := http.DefaultClient.Do(request)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				cancel()
				require.NoError(t, err)
				require.Len(t, body, length)
			}
		})
	}
}
