package resources

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestRequestsOfBothProtocolsAreInTheAccount sends a request over HTTP/1 and over HTTP/2: while it is handled the process works
// on it and holds its body, afterwards its connection is unused and holds no more than before.
func TestRequestsOfBothProtocolsAreInTheAccount(t *testing.T) {
	const bodyBytes = 100_000
	for name, http2 := range map[string]bool{"HTTP/1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			account := NewAccount(NewLimits(100, 0), Control)
			entry := func() (e Entry) {
				account.mu.Lock()
				defer account.mu.Unlock()
				require.Len(t, account.entries, 1)
				for each := range account.entries {
					e = *each
				}
				return e
			}
			var during Entry
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				during = entry()
			})}
			protocols := &http.Protocols{}
			protocols.SetHTTP1(!http2)
			protocols.SetUnencryptedHTTP2(http2)
			server.Protocols = protocols
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			kept := NewKeeper(account, zerolog.Nop()).Serve(server, listener, Control)
			go func() { _ = server.Serve(kept) }()
			defer server.Close()
			client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
			response, err := client.Post("http://"+listener.Addr().String()+"/", "text/plain", strings.NewReader(strings.Repeat("x", bodyBytes)))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, 1, during.running)
			require.True(t, during.inRequest)
			require.Greater(t, during.held, int64(connCost+bodyBytes))
			require.Eventually(t, func() bool {
				e := entry()
				kept := int64(connCost + longBodyBuffer)
				if http2 {
					kept += http2ConnCost
				}
				return e.completed && !e.inRequest && e.running == 0 && e.held <= kept
			}, 5*time.Second, time.Millisecond)
		})
	}
}

// TestBodyWithoutRoomIsRefused sends a body that does not fit in the memory of the process.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	account := NewAccount(Limits{Descriptors: 100, Memory: 1 << 20}, Control)
	failed := make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		failed <- err
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	kept := NewKeeper(account, zerolog.Nop()).Serve(server, listener, Control)
	go func() { _ = server.Serve(kept) }()
	defer server.Close()
	response, err := http.Post("http://"+listener.Addr().String()+"/", "text/plain", strings.NewReader(strings.Repeat("x", 4<<20)))
	if err == nil {
		// The client may notice the closed connection before the response.
		_ = response.Body.Close()
	}
	require.ErrorIs(t, <-failed, ErrNoMemory)
	require.Equal(t, 1, account.Status()[0].Refusals.Requests)
}

// TestEndedConnectionsHoldNothing closes a connection of each protocol, from either side, of which requests were handled.
func TestEndedConnectionsHoldNothing(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1": false, "HTTP/2": true} {
		for _, displaced := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				account := NewAccount(NewLimits(100, 0), Control)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(w, r.Body)
				})}
				protocols := &http.Protocols{}
				protocols.SetHTTP1(!http2)
				protocols.SetUnencryptedHTTP2(http2)
				server.Protocols = protocols
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				kept := NewKeeper(account, zerolog.Nop()).Serve(server, listener, Control)
				go func() { _ = server.Serve(kept) }()
				defer server.Close()
				client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
				response, err := client.Post("http://"+listener.Addr().String()+"/", "text/plain", strings.NewReader(strings.Repeat("x", 100_000)))
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.NotZero(t, account.Status()[0].Held)
				if displaced {
					closeAll(account.Sweep(time.Now().Add(2 * keepIdle)))
				} else {
					client.CloseIdleConnections()
				}
				require.Eventually(t, func() bool { s := account.Status()[0]; return s.Held == 0 && s.Conns == 0 }, 5*time.Second, time.Millisecond)
				require.Zero(t, account.classes[0].ending)
			})
		}
	}
}

// TestHandlerRefusesForItself lets a class answer requests without memory by its own handler, to which all memory is refused.
func TestHandlerRefusesForItself(t *testing.T) {
	class := Class{Name: "own refusals", Share: 1, HandlerRefuses: true}
	account := NewAccount(Limits{Descriptors: 100, Memory: connCost + requestCost/2}, class)
	refused := make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { refused <- MemoryOf(r.Context()).Add(1) })}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	kept := NewKeeper(account, zerolog.Nop()).Serve(server, listener, class)
	go func() { _ = server.Serve(kept) }()
	defer server.Close()
	response, err := http.Get("http://" + listener.Addr().String() + "/")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.ErrorIs(t, <-refused, ErrNoMemory)
}
