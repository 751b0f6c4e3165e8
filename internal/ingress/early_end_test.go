package ingress

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
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/callerconn"
	"samphireflow/internal/calls"
	"samphireflow/internal/gate"
	"samphireflow/internal/hop"
	"samphireflow/internal/outcome"
	"samphireflow/internal/routing"
	"samphireflow/internal/tree"
)

// startEarlyBackend starts a backend server that answers at once, without a length, and ends the connection, and its gate.
func startEarlyBackend(t *testing.T, body string, reset bool) (*gate.Gate, *apiv1.BackendServer) {
	names := calls.DefaultHeaders()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+names.RequestID+": "+r.Header.Get(names.RequestID)+"\r\n\r\n"+body)
		time.Sleep(time.Millisecond)
		if reset {
			_ = c.SetLinger(0)
			_ = c.Close()
			return
		}
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	info := &apiv1.BackendServer{
		Instance: "a", Service: "rota", Version: "v1", Slots: 50, FailureDomain: "hobart",
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

// startCallerServer starts a node with one backend server and returns the address for its callers.
func startCallerServer(t *testing.T, g *gate.Gate, info *apiv1.BackendServer) string {
	snap := &apiv1.Snapshot{
		Version: 1, FailureDomain: "hobart",
		Services: []*apiv1.ServiceConfig{{Name: "rota", Shares: []*apiv1.VersionShare{{Version: "v1", ShareBp: 10000}}}},
		Routes: []*apiv1.RouteConfig{{Name: "book", Service: "rota", Settings: []*apiv1.Setting{
			{Key: tree.KeyRouteHost, Value: "h"}, {Key: tree.KeyRoutePrefix, Value: "/"}, {Key: tree.KeyCallTimeout, Value: "10s"},
			{Key: tree.KeyRouteObjective, Value: "5s"}, {Key: tree.KeyRouteAttempts, Value: "1"},
		}}},
	}
	table := routing.Build(snap, []*apiv1.BackendServer{info}, routing.NewRegistry())
	node := New(Options{
		Instance: "self", FailureDomain: "hobart", Service: "desk", Table: func() *routing.Table { return table }, Gate: g,
		Headers: calls.DefaultHeaders(), Logger: zerolog.Nop(), Now: time.Now, Random: func() float64 { return 0.5 },
	})
	server := callerconn.NewServer(callerconn.Options{
		Handler: node, MayPipeline: node.MayPipeline, Logger: zerolog.Nop(), MaxKeptConns: 1000,
		MaxHeaderBytes: func() int { return 1 << 16 },
		HeaderTimeout:  func() time.Duration { return 5 * time.Second }, IdleTimeout: func() time.Duration { return 5 * time.Second },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

const earlyUploadBytes = 1 << 20

// upload sends a request with a long body and reads the response to its end. It returns the body of a complete response.
func upload(addr, proto string, chunked bool, id string) (string, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	var writing sync.WaitGroup
	var writeErr error
	writing.Go(func() {
		head := "POST /book " + proto + "\r\nHost: h\r\n" + calls.DefaultHeaders().RequestID + ": " + id + "\r\n"
		piece := strings.Repeat("u", 16<<10)
		if chunked {
			head += "Transfer-Encoding: chunked\r\n\r\n"
			piece = strconv.FormatInt(int64(len(piece)), 16) + "\r\n" + piece + "\r\n"
		} else {
			head += "Content-Length: " + strconv.Itoa(earlyUploadBytes) + "\r\n\r\n"
		}
		_, writeErr = io.WriteString(c, head)
		for sent := 0; sent < earlyUploadBytes && writeErr == nil; sent += 16 << 10 {
			_, writeErr = io.WriteString(c, piece)
		}
		if chunked && writeErr == nil {
			_, writeErr = io.WriteString(c, "0\r\n\r\n")
		}
	})
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", errors.New(response.Status)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The kernel tells a reset once, to the writer here if that is faster.
		_ = c.SetWriteDeadline(time.Now())
		writing.Wait()
		if errors.Is(writeErr, syscall.ECONNRESET) {
			return "", writeErr
		}
	}
	return string(body), nil
}

// TestPartOfAnEarlyResponseReachesNoCallerAsTheWhole guards against a part of a response that a caller takes for the whole: a backend
// server answers an upload at once, without a length, and resets the connection. Beside the node and beside another one.
func TestPartOfAnEarlyResponseReachesNoCallerAsTheWhole(t *testing.T) {
	const rounds = 10
	for _, node := range []string{"self", "far"} {
		for _, bodyBytes := range []int{40, 400_000} {
			for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
				for _, chunked := range []bool{false, true} {
					for _, reset := range []bool{true, false} {
						if chunked && proto == "HTTP/1.0" {
							continue
						}
						t.Run(fmt.Sprintf("gate of %s, %d bytes, %s, chunked %t, reset %t", node, bodyBytes, proto, chunked, reset), func(t *testing.T) {
							body := strings.Repeat("x", bodyBytes)
							g, info := startEarlyBackend(t, body, reset)
							info.Node = node
							addr := startCallerServer(t, g, info)
							var running sync.WaitGroup
							wrong := make(chan string, rounds)
							for i := range rounds {
								running.Go(func() {
									got, err := upload(addr, proto, chunked, strconv.Itoa(i))
									switch {
									case reset && err == nil:
										wrong <- fmt.Sprintf("%d bytes of a response that was reset are a whole one", len(got))
									case !reset && (err != nil || got != body):
										wrong <- fmt.Sprintf("%d bytes of a whole response, %v", len(got), err)
									}
								})
							}
							running.Wait()
							close(wrong)
							for message := range wrong {
								t.Error(message)
							}
						})
					}
				}
			}
		}
	}
}
