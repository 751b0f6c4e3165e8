package shell

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
)

const (
	// startTimeout bounds the start of a small deployment.
	startTimeout = 60 * time.Second
	// pollInterval is the time between two looks at something that is waited for.
	pollInterval = 10 * time.Millisecond
	// slots and queue are what the stand-in of a small deployment can hold.
	slots = 1
	queue = 10
)

// small is a deployment of one control instance, one node and one backend server.
type small struct {
	*deployment.Deployment
	control deployment.Process
	node    deployment.Process
	server  deployment.Process
}

func smallLayout() deployment.Layout {
	return deployment.Layout{
		Name:           "small",
		Domains:        []deployment.Domain{{Name: "hobart", Region: "south"}},
		ControlDomains: []string{"hobart"},
		Slots:          slots,
		Connections:    130,
		DrainLinger:    100 * time.Millisecond,
		Services: []deployment.Service{{
			Name: "shift-desk", Version: deployment.FirstVersion, ServerDomains: []string{"hobart"},
			Routes: []deployment.Route{
				{Name: "book", Method: http.MethodPost, Path: "/shifts"},
				{Name: "list", Method: http.MethodGet, Path: "/shifts/*", Idempotent: true},
			},
		}},
	}
}

// startSmall starts a small deployment, prepared by the functions given, and ends it with the test.
func startSmall(t *testing.T, prepare ...func(*deployment.Deployment)) *small {
	t.Helper()
	return startLayout(t, smallLayout(), prepare...)
}

// startLayout starts a deployment and names its last process of each role. The test runs beside others from then on.
func startLayout(t *testing.T, layout deployment.Layout, prepare ...func(*deployment.Deployment)) *small {
	t.Helper()
	t.Parallel()
	d, err := deployment.New(layout, binDir, t.TempDir())
	require.NoError(t, err)
	for _, change := range prepare {
		change(d)
	}
	t.Cleanup(func() { require.NoError(t, d.Stop()) })
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	require.NoError(t, d.Start(ctx))
	s := &small{Deployment: d}
	for _, process := range d.Processes() {
		switch process.Role {
		case deployment.RoleControl:
			s.control = process
		case deployment.RoleNode:
			s.node = process
		case deployment.RoleBackendServer:
			s.server = process
		}
	}
	return s
}

// acceptedVersion asks the control group for the newest accepted version.
func (s *small) acceptedVersion(t *testing.T) uint64 {
	t.Helper()
	version, err := s.AcceptedVersion(t.Context())
	require.NoError(t, err)
	return version
}

// setFaults switches faults of the backend server on.
func (s *small) setFaults(t *testing.T, document string) {
	t.Helper()
	response, err := http.Post("http://"+s.server.AdminAddr+"/faults", "application/json", strings.NewReader(document))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// awaitInFlight waits until the backend server holds so many calls.
func (s *small) awaitInFlight(t *testing.T, calls int) {
	t.Helper()
	require.Eventually(t, func() bool {
		var report struct {
			InFlight int `json:"in_flight"`
		}
		text := get(t, "http://"+s.server.AdminAddr+"/load")
		return json.Unmarshal([]byte(text), &report) == nil && report.InFlight == calls
	}, startTimeout, pollInterval)
}

// call sends a request to the node and returns the response with its body.
func (s *small) call(t *testing.T, method, path, body string, header http.Header) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+s.node.CallerAddr+path, strings.NewReader(body))
	require.NoError(t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(text)
}

func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(text)
}

// ready reports whether the process with the admin address can serve.
func ready(adminAddr string) bool {
	response, err := http.Get("http://" + adminAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// deadAddr returns an address on which nothing listens.
func deadAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
