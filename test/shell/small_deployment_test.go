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
	// pollInterval is the time between two checks of a condition that a test waits for.
	pollInterval = 10 * time.Millisecond
	// slots and queue are the numbers of calls that the backend server of a small deployment runs and lets wait at a time.
	slots = 1
	queue = 10
)

// smallDeployment is a deployment of one control instance, one node and one backend server.
type smallDeployment struct {
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

// startSmall starts a small deployment after the prepare functions have changed it, and stops it when the test ends.
func startSmall(t *testing.T, prepare ...func(*deployment.Deployment)) *smallDeployment {
	t.Helper()
	return startLayout(t, smallLayout(), prepare...)
}

// startLayout starts a deployment and keeps the last process of each role. It marks the test as parallel.
func startLayout(t *testing.T, layout deployment.Layout, prepare ...func(*deployment.Deployment)) *smallDeployment {
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
	s := &smallDeployment{Deployment: d}
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

// acceptedVersion returns the newest version that the control group has accepted.
func (s *smallDeployment) acceptedVersion(t *testing.T) uint64 {
	t.Helper()
	version, err := s.AcceptedVersion(t.Context())
	require.NoError(t, err)
	return version
}

// setFaults enables faults of the backend server, given as a JSON document.
func (s *smallDeployment) setFaults(t *testing.T, document string) {
	t.Helper()
	response, err := http.Post("http://"+s.server.AdminAddr+"/faults", "application/json", strings.NewReader(document))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// awaitInFlight waits until the given number of calls is in flight at the backend server.
func (s *smallDeployment) awaitInFlight(t *testing.T, calls int) {
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
func (s *smallDeployment) call(t *testing.T, method, path, body string, header http.Header) (*http.Response, string) {
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

// ready reports whether the process with the given admin address reports that it is ready.
func ready(adminAddr string) bool {
	response, err := http.Get("http://" + adminAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// unusedAddr returns an address on which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
