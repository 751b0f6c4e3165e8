package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/tree"
)

// TestTransportNeverSendsTwice lets the backend server close the connection on its second request. net/http would resend a
// request there that it regards as replayable; the proxy must not, because the first one may have run.
func TestTransportNeverSendsTwice(t *testing.T) {
	for _, c := range []struct{ method, path, body, key string }{
		{"GET", "/pull/1", "", ""},
		{"POST", "/shifts/1", "", "k"},
		{"POST", "/shifts/1", "body", "k"},
	} {
		t.Run(c.method+c.body+c.key, func(t *testing.T) {
			server := newRawServer(t, func(_ *http.Request, number int64) (string, bool) {
				if number == 2 {
					return "", true
				}
				return okResponse, false
			})
			p := newTestProxy(t, Options{Claims: newClaims("n1")}, defaultSettings(), serverInfo("a", server.addr))
			header := func(i int) []string {
				if c.key == "" {
					return nil
				}
				return []string{HeaderIdempotencyKey, c.key + strconv.Itoa(i)}
			}
			require.Equal(t, OutcomeDone, p.call(t, c.method, c.path, c.body, header(1)...).outcome)
			require.Equal(t, OutcomeUnknown, p.call(t, c.method, c.path, c.body, header(2)...).outcome)
			require.EqualValues(t, 2, server.requests.Load())
		})
	}
}

// TestOutcomeMatchesTheExecution lets a backend server send whole and broken responses of many kinds. The caller must see
// "done" only with a whole response to its own request, and "not-run" only for a call that was shed.
func TestOutcomeMatchesTheExecution(t *testing.T) {
	for name, c := range map[string]struct {
		response  string
		closeConn bool
		outcome   Outcome
	}{
		"whole":             {okResponse, false, OutcomeDone},
		"whole, chunked":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, OutcomeDone},
		"error":             {"HTTP/1.1 500 E\r\nContent-Length: 2\r\n\r\nok", false, OutcomeDone},
		"shed":              {"HTTP/1.1 503 S\r\nSamphireflow-Shed: 1\r\nContent-Length: 0\r\n\r\n", false, OutcomeNotRun},
		"closed early":      {"", true, OutcomeUnknown},
		"cut in the header": {"HTTP/1.1 200 OK\r\nContent-Le", true, OutcomeUnknown},
		"cut in the body":   {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok", true, OutcomeUnknown},
		"cut in a chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nok", true, OutcomeUnknown},
		"no last chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, OutcomeUnknown},
		"without a length":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", true, OutcomeUnknown},
		"another request's": {"HTTP/1.1 200 OK\r\nSamphireflow-Call: x-1\r\nContent-Length: 2\r\n\r\nok", false, OutcomeUnknown},
		"another server's":  {"HTTP/1.1 200 OK\r\nSamphireflow-Instance: b\r\nContent-Length: 2\r\n\r\nok", false, OutcomeUnknown},
		"not HTTP":          {"hello\r\n", true, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, func(*http.Request, int64) (string, bool) { return c.response, c.closeConn })
			p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", server.addr))
			got := p.call(t, "POST", "/shifts/1", "body")
			require.Equal(t, c.outcome, got.outcome)
			if c.outcome != OutcomeDone {
				require.NotContains(t, got.body, "ok")
			}
			require.EqualValues(t, 1, server.requests.Load())
		})
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", listener.Addr().String()))
	require.Equal(t, OutcomeNotRun, p.call(t, "POST", "/shifts/1", "body").outcome)
}

// TestResponsesMatchTheirRequests cancels many calls in flight. A connection with a pending response that is reused after a
// cancellation would deliver the response to another request.
func TestResponsesMatchTheirRequests(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
		_, _ = w.Write(append(body, strings.Repeat(string(body), rand.IntN(50))...))
	}))
	defer backend.Close()
	info := serverInfo("a", backend.Listener.Addr().String())
	info.Slots = 64
	p := newTestProxy(t, Options{}, defaultSettings(), info)
	var wg sync.WaitGroup
	for caller := range 16 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			for i := range 60 {
				own := fmt.Sprintf("<%d-%d>", caller, i)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(6000))*time.Microsecond)
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, p.server.URL+"/shifts/1", strings.NewReader(own))
				if response, err := http.DefaultClient.Do(request); err == nil {
					text, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if err == nil && response.Header.Get(HeaderOutcome) == string(OutcomeDone) {
						if strings.ReplaceAll(string(text), own, "") != "" {
							t.Errorf("%s got %s", own, text)
						}
					}
				}
				cancel()
			}
		})
	}
	wg.Wait()
}

func TestCancellationReachesTheBackendServer(t *testing.T) {
	running, cancelled := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		close(running)
		<-request.Context().Done()
		close(cancelled)
	}))
	defer backend.Close()
	p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", backend.Listener.Addr().String()))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-running
		cancel()
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.server.URL+"/rota/1", nil)
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.Canceled)
	<-cancelled
}

func TestDeadlineAndDepthAreForwarded(t *testing.T) {
	var got http.Header
	server := newRawServer(t, func(request *http.Request, _ int64) (string, bool) {
		got = request.Header
		return okResponse, false
	})
	p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", server.addr))
	deadline := strconv.FormatInt(time.Now().Add(time.Second).UnixMilli(), 10)
	require.Equal(t, OutcomeDone, p.call(t, "GET", "/rota/1", "", HeaderDeadline, deadline, HeaderDepth, "7").outcome)
	require.Equal(t, deadline, got.Get(HeaderDeadline))
	require.Equal(t, "8", got.Get(HeaderDepth))
	require.Equal(t, OutcomeNotRun, p.call(t, "GET", "/rota/1", "", HeaderDeadline, "1").outcome)
	require.Equal(t, OutcomeNotRun, p.call(t, "GET", "/rota/1", "", HeaderDepth, "32").outcome)
	require.EqualValues(t, 1, server.requests.Load())
}

func TestResendGetsTheFirstResponse(t *testing.T) {
	server := newRawServer(t, func(_ *http.Request, number int64) (string, bool) {
		return "HTTP/1.1 201 Created\r\nLocation: /shifts/" + strconv.FormatInt(number, 10) + "\r\nContent-Length: 1\r\n\r\n" + strconv.FormatInt(number, 10), false
	})
	p := newTestProxy(t, Options{Claims: newClaims("n1")}, defaultSettings(tree.KeyCallTimeout, "5s"), serverInfo("a", server.addr))
	for range 3 {
		got := p.call(t, "POST", "/shifts/1", "body", HeaderIdempotencyKey, "k")
		require.Equal(t, reply{201, OutcomeDone, "1", got.header}, got)
		require.Equal(t, "/shifts/1", got.header.Get("Location"))
	}
	require.EqualValues(t, 1, server.requests.Load())
	other := p.call(t, "POST", "/shifts/1", "other body", HeaderIdempotencyKey, "k")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, OutcomeNotRun, other.outcome)
}
