package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
	"samphireflow/internal/hop"
	"samphireflow/internal/resources"
)

// serveAccounted serves a handler whose connections are in an account and returns its address.
func serveAccounted(t *testing.T, limits resources.Limits, class resources.Class, server *http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	kept := resources.NewKeeper(resources.NewAccount(limits, class), zerolog.Nop()).Serve(server, listener, class)
	go func() { _ = server.Serve(kept) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// TestCallWithoutMemoryIsNotRun sends a call to a gate that has memory for its connection only. The other node learns that the call
// has not run, so that it may try another gate.
func TestCallWithoutMemoryIsNotRun(t *testing.T) {
	clock := time.Now()
	g, _ := newTestGate("127.0.0.1:1", &clock)
	const memory = 40 << 10
	addr := serveAccounted(t, resources.Limits{Descriptors: 100, Memory: memory}, resources.Gate,
		&http.Server{Handler: hop.Handler(g, zerolog.Nop()), ConnContext: hop.ConnContext})
	c := newTestCall(clock)
	header := c.Header.Clone()
	calls.HopMetadata{Server: "a", Route: c.Route, Objective: time.Minute, Deadline: time.Minute, FinishBy: time.Minute}.Write(header)
	response, err := exchange.NewHPACKClient(time.Second).Do(t.Context(), addr, c.Request(header, calls.DefaultHeaders().RequestID))
	require.NoError(t, err)
	result, err := calls.ParseResult(response.Header.Get(calls.HopResultHeader))
	require.NoError(t, err)
	require.Equal(t, calls.NotRun, result.Outcome)
	require.Equal(t, calls.ReasonFull, result.Reason)
	require.NotZero(t, result.RetryAfter)
}

// TestStalledCallersLoseTheirSlots lets callers that do not read hold all slots with long responses, and keeps an ordinary call
// waiting until it gets one of them.
func TestStalledCallersLoseTheirSlots(t *testing.T) {
	const responseBytes = 64 << 20
	backend := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(calls.DefaultHeaders().RequestID, "1")
		if r.URL.Path == "/long" {
			_, _ = io.CopyN(w, strings.NewReader(strings.Repeat("x", responseBytes)), responseBytes)
		}
	})}
	unlimited := resources.Limits{Descriptors: 100, Memory: 1 << 40}
	backendAddr := serveAccounted(t, unlimited, resources.Admin, backend)
	clock := time.Now()
	g, info := newTestGate(backendAddr, &clock)
	g.options.Now = time.Now
	newCall := func(target string) *calls.Call {
		c := newTestCall(time.Now())
		c.Target = target
		return c
	}
	callers := serveAccounted(t, unlimited, resources.Callers, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := newCall("/long")
		c.Memory = resources.MemoryOf(r.Context())
		if result := g.Pass(r.Context(), c, "a", time.Now().Add(time.Minute)); result.Outcome == calls.Answered {
			calls.WriteResponse(w, result.Response)
		}
	})})
	for range info.Slots {
		conn, err := net.Dial("tcp", callers)
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return g.Load().Running == int(info.Slots) }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for {
		if result := g.Pass(ctx, newCall("/short"), "a", time.Now().Add(50*time.Millisecond)); result.Outcome == calls.Answered {
			return
		}
		require.NoError(t, ctx.Err(), "the ordinary call gets no slot")
	}
}
