package rpcbytes_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/rpcbytes"

	_ "samphireflow/api/v1"
)

func TestBytesAreCountedByMethod(t *testing.T) {
	counter := rpcbytes.New()
	server := httptest.NewUnstartedServer(counter.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 300))
	})))
	server.Listener = counter.Listener(server.Listener)
	server.Start()
	for _, path := range []string{"/twirp/samphireflow.v1.Distribution/Watch", "/twirp/samphireflow.v1.Distribution/Unknown", "/else"} {
		response, err := http.Post(server.URL+path, "text/plain", strings.NewReader(strings.Repeat("x", 100)))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	// The counters of a connection are final only after the server has ended it: the client may have read a response before
	// the write that sent it returns.
	server.Close()
	totals := counter.Totals()
	require.Equal(t, rpcbytes.Traffic{Received: 100, Sent: 300}, totals["samphireflow.v1.Distribution/Watch"])
	require.Equal(t, rpcbytes.Traffic{Received: 200, Sent: 600}, totals["other"], "unknown paths share one entry")
	require.Greater(t, totals["connections"].Received, uint64(300))
	require.Greater(t, totals["connections"].Sent, uint64(900))
	require.Len(t, totals, 3)
	registry := prometheus.NewRegistry()
	require.NoError(t, registry.Register(counter))
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families[0].Metric, 6)
}
