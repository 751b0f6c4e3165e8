package proxy

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// cuttingServer is a backend server that sends the beginning of a response and then closes or resets the connection.
type cuttingServer struct {
	addr string

	mu    sync.Mutex
	text  string
	reset bool
}

func newCuttingServer(t *testing.T) *cuttingServer {
	s := &cuttingServer{}
	s.addr = serveConns(t, s.serve)
	return s
}

func (s *cuttingServer) serve(c net.Conn) {
	_, _ = c.Read(make([]byte, 4<<10))
	s.mu.Lock()
	text, reset := s.text, s.reset
	s.mu.Unlock()
	_, _ = io.WriteString(c, text)
	if reset {
		// What has been sent arrives before the reset.
		time.Sleep(time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// cut sets where the next responses end.
func (s *cuttingServer) cut(text string, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.reset = text, reset
}

// cutResponses are whole responses of a backend server. One without a length is never taken for whole.
var cutResponses = map[string]string{
	"with a length":      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-After: 1\r\n\r\ntwelve bytes",
	"in chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
	"with a trailer":     "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n0\r\nSum: 1\r\n\r\n",
	"after interim ones": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"without a body":     "HTTP/1.1 204 No Content\r\nX-After: 1\r\n\r\n",
	"empty":              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"without a length":   "HTTP/1.1 200 OK\r\nX-After: 1\r\n\r\nuntil the end",
	"of HTTP/1.0":        "HTTP/1.0 200 OK\r\nX-After: 1\r\n\r\nuntil the end",
	"bare line feeds":    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"refusal":            "HTTP/1.1 503 Busy\r\n" + HeaderShed + ": 1\r\nContent-Length: 2\r\n\r\nno",
	"failure":            "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno",
}

// TestCutResponseIsNeitherWholeNorARefusal guards against a success with an empty or short body, or a promise that a call has not
// run, when a backend server stops in the middle of its response and closes or resets the connection. Directly and through the gate.
func TestCutResponseIsNeitherWholeNorARefusal(t *testing.T) {
	for name, text := range cutResponses {
		t.Run(name, func(t *testing.T) {
			server := newCuttingServer(t)
			addr := server.addr
			gate := newNamedTestGate(t, "a", addr, 10, 130)
			direct := newTestProxy(t, Options{Recorder: discardRecorder{}}, defaultSettings(), serverInfo("a", addr))
			throughGate := newTestProxy(t, Options{Recorder: discardRecorder{}}, defaultSettings(), gate.info)
			for after := range len(text) {
				for _, reset := range []bool{false, true} {
					server.cut(text[:after], reset)
					for path, p := range map[string]*testProxy{"direct": direct, "gate": throughGate} {
						// Each call begins with a backend server that has not failed before.
						p.setTable(defaultSettings(), map[string]*apiv1.BackendServer{"direct": serverInfo("a", addr), "gate": gate.info}[path])
						got := p.call(t, "POST", "/shifts/1", "x")
						require.Equal(t, http.StatusBadGateway, got.status, "%s: after %d, reset %v", path, after, reset)
						require.Equal(t, OutcomeUnknown, got.outcome, "%s: after %d, reset %v", path, after, reset)
					}
				}
			}
		})
	}
}
