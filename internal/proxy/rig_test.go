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

// rig is a node's proxy with a table that tests set.
type rig struct {
	*Proxy
	table atomic.Pointer[routing.Table]
	front *httptest.Server
}

// defaults lists the default settings with some changed.
func defaults(pairs ...string) []*apiv1.Setting {
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

// snapshotOf has one service "rota" with an idempotent GET /rota/* and a POST and a GET that are not idempotent.
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

func newRig(t testing.TB, options Options, settings []*apiv1.Setting, servers ...*apiv1.BackendServer) *rig {
	r := &rig{}
	r.set(settings, servers...)
	options.Table = r.table.Load
	if options.Recorder == nil {
		options.Recorder = outcome.NewAggregator("hobart")
	}
	if options.Instance == "" {
		options.Instance = "n1"
	}
	options.Logger = zerolog.Nop()
	r.Proxy = New(options)
	r.front = httptest.NewServer(r.Proxy)
	t.Cleanup(func() {
		r.front.Close()
		r.Close()
	})
	return r
}

func (r *rig) set(settings []*apiv1.Setting, servers ...*apiv1.BackendServer) {
	r.table.Store(routing.Build(snapshotOf(settings), servers, routing.NewRegistry()))
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome Outcome
	body    string
	header  http.Header
}

func (r *rig) call(t testing.TB, method, path, body string, headers ...string) reply {
	t.Helper()
	request, err := http.NewRequest(method, r.front.URL+path, strings.NewReader(body))
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

// rawServer reads whole requests and answers with the bytes that the script returns; it then closes the connection when
// the script says so.
type rawServer struct {
	addr     string
	requests atomic.Int64
}

type script func(request *http.Request, number int64) (answer string, hangUp bool)

func newRawServer(t testing.TB, answer script) *rawServer {
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
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *rawServer) serve(c net.Conn, answer script) {
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
		text, hangUp := answer(request, s.requests.Add(1))
		if _, err := io.WriteString(c, text); err != nil || hangUp {
			return
		}
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// newHolders returns claim holders of one failure domain that clients reach without a network.
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

func build(snap *apiv1.Snapshot, servers ...*apiv1.BackendServer) *routing.Table {
	return routing.Build(snap, servers, routing.NewRegistry())
}
