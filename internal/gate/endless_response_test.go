package gate

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
)

// startEndlessBackend starts a backend server whose responses do not end before the client closes the connection. It returns
// its address and the number of responses that it is sending.
func startEndlessBackend(t *testing.T) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sending := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				sending.Add(1)
				defer sending.Add(-1)
				_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n" + calls.DefaultHeaders().RequestID + ": 1\r\n\r\n"))
				for err == nil {
					_, err = conn.Write(make([]byte, 16<<10))
				}
			}()
		}
	}()
	return listener.Addr().String(), sending
}

// TestEndlessResponsesKeepTheirSlots guards against a node that runs out of memory while a faulty backend server sends bodies
// without end: each of them gave its slot back once its start was buffered, so that their number grew until callers left.
func TestEndlessResponsesKeepTheirSlots(t *testing.T) {
	addr, sending := startEndlessBackend(t)
	clock := time.Now()
	g, info := newTestGate(addr, &clock)
	var streaming []*calls.Result
	for range 20 {
		result := g.Pass(context.Background(), newTestCall(clock), "a", clock.Add(50*time.Millisecond))
		if result.Outcome == calls.Answered {
			streaming = append(streaming, result)
			continue
		}
		require.Equal(t, calls.ReasonFull, result.Reason)
	}
	require.Len(t, streaming, int(info.Slots), "as many as the backend server has slots")
	require.LessOrEqual(t, sending.Load(), int64(info.Slots))
	require.NoError(t, streaming[0].Response.Rest.Close())
	require.NoError(t, streaming[0].Response.Rest.Close())
	require.Equal(t, int(info.Slots)-1, g.Load().Running, "a closed response gives its slot back once")
	next := g.Pass(context.Background(), newTestCall(clock), "a", clock.Add(50*time.Millisecond))
	require.Equal(t, calls.Answered, next.Outcome)
	for _, result := range append(streaming[1:], next) {
		require.NoError(t, result.Response.Rest.Close())
	}
	require.Zero(t, g.Load().Running)
}

// TestStalledReaderDoesNotKeepTheSlot reads nothing of a long response until after the deadline of the call, when the exchange
// with the backend server has ended.
func TestStalledReaderDoesNotKeepTheSlot(t *testing.T) {
	addr, sending := startEndlessBackend(t)
	clock := time.Now()
	g, _ := newTestGate(addr, &clock)
	call := newTestCall(clock)
	call.Deadline = clock.Add(200 * time.Millisecond)
	result := g.Pass(context.Background(), call, "a", clock.Add(50*time.Millisecond))
	require.Equal(t, calls.Answered, result.Outcome)
	require.Equal(t, 1, g.Load().Running)
	require.Eventually(t, func() bool { return g.Load().Running == 0 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return sending.Load() == 0 }, 10*time.Second, time.Millisecond, "its connection is closed")
	require.NoError(t, result.Response.Rest.Close())
	require.Zero(t, g.Load().Running, "the slot is given back once")
}
