package gate

import (
	"context"
	"fmt"
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
)

// cut says where a connection ends in the middle of a response.
type cut struct {
	// after is the number of bytes that arrive.
	after int
	// reset is set if the connection is reset, not closed.
	reset bool
}

// newCuttingServer starts a server that sends the beginning of a response to each request, once the request has begun to arrive.
func newCuttingServer(t *testing.T, respond func() string, at *cut) string {
	return serveConns(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4<<10))
		text := respond()
		_, _ = io.WriteString(c, text[:min(at.after, len(text))])
		finish(c, at)
	})
}

// serveConns handles each connection of a new listener by a function, and returns the listener's address.
func serveConns(t *testing.T, handle func(c net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return listener.Addr().String()
}

// finish closes or resets a connection.
func finish(c net.Conn, at *cut) {
	if at.reset {
		// What has been sent arrives before the reset.
		time.Sleep(time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// cutResponses are whole responses of a backend server to the call with the ID 1. Without a length the close of the connection ends
// the body.
var cutResponses = []struct {
	name, head, body string
	untilClose       bool
}{
	{"with a length", "HTTP/1.1 200 OK\r\nSamphireflow-Request-Id: 1\r\nContent-Length: 12\r\nX-After: 1\r\n\r\n", "twelve bytes", false},
	{"in chunks", "HTTP/1.1 200 OK\r\nSamphireflow-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n", false},
	{"with a trailer", "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nSamphireflow-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "6\r\ntwelve\r\n0\r\nSum: 1\r\n\r\n", false},
	{"after interim ones", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nSamphireflow-Request-Id: 1\r\nContent-Length: 2\r\n\r\n", "ok", false},
	{"without a body", "HTTP/1.1 204 No Content\r\nSamphireflow-Request-Id: 1\r\n\r\n", "", false},
	{"empty", "HTTP/1.1 200 OK\r\nSamphireflow-Request-Id: 1\r\nContent-Length: 0\r\n\r\n", "", false},
	{"without a length", "HTTP/1.1 200 OK\r\nSamphireflow-Request-Id: 1\r\n\r\n", "until the end", true},
	{"of HTTP/1.0", "HTTP/1.0 200 OK\r\nSamphireflow-Request-Id: 1\r\n\r\n", "until the end", true},
	{"bare line feeds", "HTTP/1.1 200 OK\nSamphireflow-Request-Id: 1\nContent-Length: 2\n\n", "ok", false},
	{"refusal", "HTTP/1.1 503 Busy\r\nSamphireflow-Request-Id: 1\r\nSamphireflow-Shed: 1\r\nContent-Length: 2\r\n\r\n", "no", false},
	{"misdirected", "HTTP/1.1 421 Misdirected\r\nSamphireflow-Request-Id: 1\r\nContent-Length: 2\r\n\r\n", "no", false},
	{"failure", "HTTP/1.1 500 Failed\r\nSamphireflow-Request-Id: 1\r\nContent-Length: 2\r\n\r\n", "no", false},
	{"long", "HTTP/1.1 200 OK\r\nSamphireflow-Request-Id: 1\r\nContent-Length: 300000\r\n\r\n", strings.Repeat("x", 300_000), false},
}

// cutsOf returns the places at which a response is cut: everywhere in its head, and in a short body.
func cutsOf(head, body string, untilClose bool) []cut {
	var cuts []cut
	for after := range len(head) + len(body) {
		inBody := after - len(head)
		if inBody > 64 && inBody%50_000 != 0 {
			continue
		}
		cuts = append(cuts, cut{after, true})
		if !untilClose || inBody < 0 {
			cuts = append(cuts, cut{after, false})
		}
	}
	return cuts
}

// requireCut fails if the result of a call is a whole response or a refusal, although its response was cut.
func requireCut(t *testing.T, result *calls.Result, what string) {
	require.NotEqual(t, calls.NotRun, result.Outcome, what)
	if result.Outcome != calls.Answered {
		return
	}
	// The rest of a long response must fail, so that the connection of the caller is closed before its end.
	require.NotNil(t, result.Response.Rest, what)
	_, err := io.Copy(io.Discard, result.Response.Rest)
	require.Error(t, err, what)
}

// TestCutResponseIsNeitherWholeNorARefusal guards against a success with an empty or short body, or a promise that a call has not
// run, when a backend server stops in the middle of its response and closes or resets the connection. For calls with and without a
// body, and with one that is passed on as it is read.
func TestCutResponseIsNeitherWholeNorARefusal(t *testing.T) {
	for _, response := range cutResponses {
		t.Run(response.name, func(t *testing.T) {
			at := &cut{}
			addr := newCuttingServer(t, func() string { return response.head + response.body }, at)
			clock := time.Now()
			g, _ := newTestGate(addr, &clock)
			for _, *at = range cutsOf(response.head, response.body, response.untilClose) {
				for kind, set := range map[string]func(c *calls.Call){
					"no body": func(*calls.Call) {},
					"body":    func(c *calls.Call) { c.Method, c.Body = "POST", []byte("body") },
					"stream": func(c *calls.Call) {
						c.Method, c.Stream, c.StreamLength = "POST", strings.NewReader("stream"), 6
					},
				} {
					call := newTestCall(clock)
					set(call)
					requireCut(t, g.Pass(t.Context(), call, "a", clock.Add(time.Second)), fmt.Sprintf("%s: %+v", kind, *at))
				}
			}
		})
	}
}

// TestCutResponseOfAnotherNodeIsNotWhole is the same between two nodes, with a compressed header: the node beside the backend server
// stops in the middle of its response.
func TestCutResponseOfAnotherNodeIsNotWhole(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		at := &cut{}
		respond := func() string {
			header := http.Header{"Samphireflow-Request-Id": {"1"}}
			result := &calls.Result{Outcome: calls.Answered}
			if status != http.StatusOK {
				result = refusal(calls.ReasonFull, "full")
			}
			header.Set(calls.HopResultHeader, result.String())
			return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", status, hop.HeaderName, hop.NewEncoder().Encode(hop.Fields{Header: header}))
		}
		addr := newCuttingServer(t, respond, at)
		client := exchange.NewHPACKClient(time.Second)
		for _, *at = range cutsOf(respond(), "", false) {
			request := newTestCall(time.Now()).Request(http.Header{"Samphireflow-Request-Id": {"1"}}, "Samphireflow-Request-Id")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			response, err := client.Do(ctx, addr, request)
			cancel()
			require.ErrorIs(t, err, exchange.ErrBroken, "%+v: %+v", *at, response)
		}
	}
}

// TestGateThatDiesInItsResponseGivesNoResult lets the connection between two nodes end anywhere in the response of a real gate.
func TestGateThatDiesInItsResponseGivesNoResult(t *testing.T) {
	backend := serveConns(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSamphireflow-Request-Id: 1\r\nContent-Length: 12\r\n\r\ntwelve bytes")
		_ = c.Close()
	})
	clock := time.Now()
	g, _ := newTestGate(backend, &clock)
	server := &http.Server{Handler: hop.Handler(g, zerolog.Nop()), ConnContext: hop.ConnContext}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	at := &cut{}
	between := serveConns(t, func(c net.Conn) {
		behind, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			_ = c.Close()
			return
		}
		defer func() { _ = behind.Close() }()
		go func() { _, _ = io.Copy(behind, c) }()
		_, _ = io.CopyN(c, behind, int64(at.after))
		finish(c, at)
	})
	send := func() (*exchange.Response, error) {
		call := newTestCall(clock)
		header := call.Header.Clone()
		calls.HopMetadata{Server: "a", Route: call.Route, Objective: time.Minute, Deadline: time.Minute, FinishBy: time.Minute}.Write(header)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return exchange.NewHPACKClient(time.Second).Do(ctx, between, call.Request(header, calls.DefaultHeaders().RequestID))
	}
	for at.after = 1; ; at.after++ {
		response, err := send()
		if err == nil {
			require.Equal(t, "twelve bytes", string(response.Body))
			break
		}
		require.ErrorIs(t, err, exchange.ErrBroken)
	}
	require.Greater(t, at.after, 40, "the response is this long")
}
