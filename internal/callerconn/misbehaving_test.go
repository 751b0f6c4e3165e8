package callerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/resources"
)

// startAccountedServer starts a server whose connections may hold a number of bytes in all.
func startAccountedServer(t *testing.T, memory int64, headerTimeout time.Duration, handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(Options{
		Handler:        handler,
		MayPipeline:    func(r *http.Request) bool { return r.Method == http.MethodGet },
		MaxHeaderBytes: func() int { return 64 << 10 },
		HeaderTimeout:  func() time.Duration { return headerTimeout },
		IdleTimeout:    func() time.Duration { return testTimeout },
		Logger:         zerolog.Nop(),
	})
	account := resources.NewAccount(resources.Limits{Descriptors: 100, Memory: memory}, resources.Callers)
	kept := resources.NewKeeper(account, zerolog.Nop()).Listener(listener, resources.Callers)
	go func() { _ = s.Serve(kept) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestLateHeaderIsNotRun lets a caller stop within the header: it is told that its request has not run.
func TestLateHeaderIsNotRun(t *testing.T) {
	addr := startAccountedServer(t, 1<<30, 50*time.Millisecond, func(http.ResponseWriter, *http.Request) {})
	conn, reader := dial(t, addr)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	response, _ := receive(t, reader)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
}

// TestRequestWithoutMemoryIsNotRun sends a header and a body for which there is no memory. Both are refused with a status that
// says so, and are not handled; the next request that needs little is.
func TestRequestWithoutMemoryIsNotRun(t *testing.T) {
	var fields strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&fields, "F%d:\r\n", i)
	}
	for name, request := range map[string]string{
		"header": "GET /much HTTP/1.1\r\nHost: h\r\n" + fields.String() + "\r\n",
		"body":   "POST /much HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000),
	} {
		t.Run(name, func(t *testing.T) {
			addr := startAccountedServer(t, 128<<10, testTimeout, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/much" {
					t.Error("the request is handled")
				}
			})
			conn, reader := dial(t, addr)
			_, _ = io.WriteString(conn, request)
			response, _ := receive(t, reader)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.True(t, response.Close)
			conn, reader = dial(t, addr)
			send(t, conn, "GET /little HTTP/1.1\r\nHost: h\r\n\r\n")
			response, _ = receive(t, reader)
			require.Equal(t, http.StatusOK, response.StatusCode)
		})
	}
}

// TestRefusalArrivesAtACallerThatIsStillSending refuses a request without reading its body. The caller sends a part of it that no
// buffer holds before it reads; a reset would lose the refusal.
func TestRefusalArrivesAtACallerThatIsStillSending(t *testing.T) {
	addr := startAccountedServer(t, 1<<30, testTimeout, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	conn, reader := dial(t, addr)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n")
	_, err := io.WriteString(conn, strings.Repeat("x", 8<<20))
	require.NoError(t, err)
	response, _ := receive(t, reader)
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}

// TestLongResponsesTakeNoMemoryTwice sends requests ahead whose responses together are longer than what the connections may hold.
// Each of them is in the memory of its handler already, so that all arrive whole.
func TestLongResponsesTakeNoMemoryTwice(t *testing.T) {
	const (
		requests = maxParallel
		memory   = 4 << 20
	)
	body := strings.Repeat("x", longResponse)
	addr := startAccountedServer(t, memory, testTimeout, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	conn, reader := dial(t, addr)
	send(t, conn, strings.Repeat(get("/"), requests))
	for range requests {
		response, received := receive(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, body, received)
	}
}
