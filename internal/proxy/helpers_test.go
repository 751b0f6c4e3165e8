package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/claim"
	"samphireflow/internal/outcome"
	"samphireflow/internal/routing"
	"samphireflow/internal/tree"
)

// testProxy is a node's proxy with an HTTP server and a routing table that tests set.
type testProxy struct {
	*Proxy
	table  atomic.Pointer[routing.Table]
	server *httptest.Server
}

// defaultSettings returns the default settings, changed by pairs of a key and a value.
func defaultSettings(pairs ...string) []*apiv1.Setting {
	changed := map[string]string{}
	for i := 0; i < len(pairs); i += 2 {
		changed[pairs[i]] = pairs[i+1]
	}
	var list []*apiv1.Setting
	for _, spec := range tree.Specs() {
		value := spec.Default
		if v, ok := changed[spec.Key]; ok {
			value = v
		}
		if value != "" {
			list = append(list, &apiv1.Setting{Key: spec.Key, Value: value})
		}
	}
	return list
}

// snapshotOf returns a snapshot with one service "rota". It has an idempotent route, GET /rota/*, and two that are not
// idempotent, POST /shifts/* and GET /pull/*.
func snapshotOf(settings []*apiv1.Setting) *apiv1.Snapshot {
	route := func(name, method, path string, idempotent bool) *apiv1.RouteConfig {
		return &apiv1.RouteConfig{Name: name, Service: "rota", Method: method, Path: path, Idempotent: idempotent, Settings: settings}
	}
	return &apiv1.Snapshot{
		FailureDomain: "hobart",
		Services: []*apiv1.ServiceConfig{{
			Name:     "rota",
			Shares:   []*apiv1.VersionShare{{Version: "v1", ShareBp: 10000}},
			Settings: settings,
		}},
		Routes: []*apiv1.RouteConfig{
			route("lookup", "GET", "/rota/*", true),
			route("book", "POST", "/shifts/*", false),
			route("pull", "GET", "/pull/*", false),
		},
	}
}

func serverInfo(instance, addr string) *apiv1.BackendServer {
	return &apiv1.BackendServer{
		Instance: instance, FailureDomain: "hobart", Service: "rota", Version: "v1", Addr: addr,
		Slots: 10, Connections: 130, State: apiv1.ServerState_SERVER_STATE_READY, Incarnation: 1,
	}
}

func newTestProxy(t testing.TB, options Options, settings []*apiv1.Setting, servers ...*apiv1.BackendServer) *testProxy {
	p := &testProxy{}
	p.setTable(settings, servers...)
	options.Table = p.table.Load
	if options.Recorder == nil {
		options.Recorder = outcome.NewAggregator("hobart")
	}
	if options.Instance == "" {
		options.Instance = "n1"
	}
	options.Logger = zerolog.Nop()
	p.Proxy = New(options)
	p.server = httptest.NewServer(p.Proxy)
	t.Cleanup(func() {
		p.server.Close()
		p.Close()
	})
	return p
}

func (p *testProxy) setTable(settings []*apiv1.Setting, servers ...*apiv1.BackendServer) {
	p.table.Store(routing.Build(snapshotOf(settings), servers, routing.NewRegistry()))
}

// reply is the response that a caller got.
type reply struct {
	status  int
	outcome Outcome
	body    string
	header  http.Header
}

func (p *testProxy) call(t testing.TB, method, path, body string, headers ...string) reply {
	t.Helper()
	request, err := http.NewRequest(method, p.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return reply{response.StatusCode, Outcome(response.Header.Get(HeaderOutcome)), string(text), response.Header}
}

// rawServer is a backend server that reads whole requests and responds with the bytes that a script returns, so that
// responses may be malformed or truncated.
type rawServer struct {
	addr     string
	requests atomic.Int64
	// conns is the number of connections that were accepted.
	conns atomic.Int64
}

// script returns the bytes of the response to a request, which may be none, and whether the connection is then closed. The
// requests of a server are numbered from 1.
type script func(request *http.Request, number int64) (response string, closeConn bool)

func newRawServer(t testing.TB, respond script) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{addr: listener.Addr().String()}
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		_ = listener.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go s.serve(c, respond)
		}
	}()
	return s
}

func (s *rawServer) serve(c net.Conn, respond script) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		text, closeConn := respond(request, s.requests.Add(1))
		if _, err := io.WriteString(c, text); err != nil || closeConn {
			return
		}
	}
}

// serveConns handles each connection of a new listener by a function, and returns the listener's address.
func serveConns(t testing.TB, handle func(c net.Conn)) string {
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

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// newHolders returns the configuration and the clients of the claim holders of one failure domain, without a network.
func newHolders(now func() time.Time) (func() claim.Configuration, func(string) apiv1.Claims) {
	set := &apiv1.Assignment{
		FailureDomain: "hobart", Role: apiv1.AssignmentRole_ASSIGNMENT_ROLE_CLAIM_HOLDER, Epoch: 1, HomeDomains: []string{"hobart"},
	}
	for _, name := range []string{"h1", "h2", "h3"} {
		set.Nodes = append(set.Nodes, &apiv1.AssignedNode{Instance: name, ControlAddr: name, Incarnation: 1, SinceEpoch: 1})
	}
	configuration := func() claim.Configuration {
		return claim.Configuration{Assignments: []*apiv1.Assignment{set}, Retention: time.Minute}
	}
	byAddr := map[string]apiv1.Claims{}
	peer := func(addr string) apiv1.Claims { return byAddr[addr] }
	for _, node := range set.Nodes {
		byAddr[node.ControlAddr] = claim.NewHolder(claim.HolderOptions{
			Instance: node.Instance, FailureDomain: "hobart", Incarnation: 1, Configuration: configuration, Peer: peer,
			Logger: zerolog.Nop(), Now: now,
		})
	}
	return configuration, peer
}

func newClaims(instance string) *claim.Client {
	configuration, peer := newHolders(time.Now)
	return claim.NewClient(claim.Options{Instance: instance, Incarnation: 1, Configuration: configuration, Peer: peer, Logger: zerolog.Nop(), Now: time.Now})
}

func share(version string, bp uint32) *apiv1.VersionShare {
	return &apiv1.VersionShare{Version: version, ShareBp: bp}
}

func buildTable(snap *apiv1.Snapshot, servers ...*apiv1.BackendServer) *routing.Table {
	return routing.Build(snap, servers, routing.NewRegistry())
}
