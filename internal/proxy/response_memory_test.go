package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEndlessBackend starts a backend server whose responses are a head and then bytes without end, as fast as they are
// read. It returns its address and a function that lets all responses stop.
func startEndlessBackend(t *testing.T, head string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
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
				_, err := io.WriteString(conn, head)
				block := []byte(strings.Repeat("2000\r\n"+strings.Repeat("x", 0x2000)+"\r\n", 2))
				for err == nil {
					_, err = conn.Write(block)
					time.Sleep(time.Millisecond)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestEndlessResponsesDoNotFillTheMemory guards against a node that runs out of memory on bodies without end: each call kept
// up to 8 MiB, and their number was not bounded.
func TestEndlessResponsesDoNotFillTheMemory(t *testing.T) {
	for name, head := range map[string]string{
		"chunked":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"large length": "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := startEndlessBackend(t, head)
			p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", addr))
			memory := &p.sender.memory
			var calls sync.WaitGroup
			for range 60 {
				calls.Go(func() {
					_ = p.call(t, "GET", "/rota/1", "")
				})
			}
			done := make(chan struct{})
			go func() {
				calls.Wait()
				close(done)
			}()
			most := int64(0)
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(time.Millisecond):
				}
				most = max(most, memory.reserved.Load())
			}
			require.LessOrEqual(t, most, int64(maxReservedBytes))
			require.Zero(t, memory.reserved.Load(), "all memory is given back")
		})
	}
}

// TestReservedMemoryIsBounded checks the limit itself, that short bodies need none of it, and that it is given back.
func TestReservedMemoryIsBounded(t *testing.T) {
	memory := &responseMemory{}
	read := func(length int) (*reservation, error) {
		r := &reservation{memory: memory}
		body, err := r.readBody(strings.NewReader(strings.Repeat("x", length)), int64(length), maxResponseBytes)
		if err == nil {
			require.Len(t, body, length)
		}
		return r, err
	}
	var held []*reservation
	for len(held) < 2 {
		r, err := read(maxResponseBytes)
		require.NoError(t, err)
		held = append(held, r)
	}
	refused, err := read(maxResponseBytes)
	require.ErrorIs(t, err, errNoMemory)
	refused.release()
	_, err = read(unreservedBytes)
	require.NoError(t, err, "short responses pass")
	require.LessOrEqual(t, memory.reserved.Load(), int64(maxReservedBytes))
	for _, r := range held {
		r.release()
		r.release()
	}
	require.Zero(t, memory.reserved.Load())
	unknown := &reservation{memory: memory}
	body, err := unknown.readBody(strings.NewReader(strings.Repeat("x", 3<<20)), -1, maxResponseBytes)
	require.NoError(t, err)
	require.Len(t, body, 3<<20)
	_, err = (&reservation{memory: memory}).readBody(strings.NewReader("short"), 10, maxResponseBytes)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = (&reservation{memory: memory}).readBody(io.LimitReader(zeros{}, maxResponseBytes+100), -1, maxResponseBytes)
	require.Error(t, err)
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { return len(buffer), nil }

// TestStalledCallerGivesMemoryBack lets a caller read nothing of a long response. Its memory must be given back soon after the
// deadline of the call.
func TestStalledCallerGivesMemoryBack(t *testing.T) {
	body := strings.Repeat("x", maxResponseBytes)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}))
	defer backend.Close()
	p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", backend.Listener.Addr().String()))
	node := httptest.NewServer(p.Proxy)
	defer node.Close()
	conn, err := net.Dial("tcp", node.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	deadline := time.Now().Add(time.Second)
	_, err = fmt.Fprintf(conn, "GET /rota/1 HTTP/1.1\r\nHost: h\r\n%s: %d\r\n\r\n", HeaderDeadline, deadline.UnixMilli())
	require.NoError(t, err)
	memory := &p.sender.memory
	require.Eventually(t, func() bool { return memory.reserved.Load() > 0 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return memory.reserved.Load() == 0 }, 15*time.Second, time.Millisecond)
}
