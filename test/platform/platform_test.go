// Package platform_test runs the daemon as the users' platform does, with its settings file, requests and signals. The
// instances are processes on the loopback interface.
package platform_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	// The test builds the daemon from these packages. The imports make go test's cache notice their changes.
	_ "samphireflow/internal/daemon"
	_ "samphireflow/platform"
)

const (
	// eventTimeout bounds each wait for an event. On an idle machine the whole test takes a few seconds.
	eventTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 15 * time.Second
)

// deployment consists of three control instances and two nodes, each with its own IP address in 127.0.0.0/8.
type deployment struct {
	t      *testing.T
	binary string
	dir    string
	// ended is closed when a process ends before the test stops it.
	ended     chan struct{}
	endedOnce sync.Once
	seeds     []string
	client    *http.Client
	// graceS is the time from SIGTERM to SIGKILL in seconds that the settings state.
	graceS int
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), ended: make(chan struct{}), client: &http.Client{Timeout: 5 * time.Second}, graceS: 6}
	d.binary = filepath.Join(d.dir, "samphireflowd")
	build := exec.Command("go", "build", "-o", d.binary, "samphireflow/cmd/samphireflowd")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	for i := 1; i <= 3; i++ {
		d.seeds = append(d.seeds, net.JoinHostPort(ipOf(i), strconv.Itoa(listenPorts[3])))
	}
	return d
}

// listenPorts are below the range that the kernel hands out, so that no other process is given one of them.
var listenPorts = [4]int{20101, 20102, 20103, 20104}

// ipOf returns the IP address of instance i. It depends on the process ID, so that concurrent test runs on one machine do
// not collide.
func ipOf(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, i)
}

func (d *deployment) addr(i, port int) string {
	return net.JoinHostPort(ipOf(i), strconv.Itoa(listenPorts[port]))
}

// start runs one instance and stops it with SIGTERM at the end of the test; it must exit without an error.
func (d *deployment) start(i int, local string, env ...string) *os.Process {
	settings := fmt.Sprintf(`[LocalNode]
Node = "instance-%d"
Ip = "%s"
Zone = "zone-%d"
Region = "r"
Bootstrap = true
%s
[Network]
InternalPortRange = [%d,%d]
Seeds = ["%s"]
[Network.Listen]
Inbound = "%s"
Outbound = "%s"
Ready = "%s"
Control = "%s"
[Terms.Bounds]
GraceS = %d
ConfigPropagationS = 2
`, i, ipOf(i), i%2, local, 20000+i, 20015+i, strings.Join(d.seeds, `","`), d.addr(i, 0), d.addr(i, 1), d.addr(i, 2), d.addr(i, 3), d.graceS)
	path := filepath.Join(d.dir, fmt.Sprintf("instance-%d.toml", i))
	require.NoError(d.t, os.WriteFile(path, []byte(settings), 0o600))
	logs, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("instance-%d.log", i)))
	require.NoError(d.t, err)
	process := exec.Command(d.binary)
	process.Env = append(append(os.Environ(), "SAMPHIREFLOW_SETTINGS="+path), env...)
	process.Stdout, process.Stderr = logs, logs
	require.NoError(d.t, process.Start())
	ended := make(chan error, 1)
	var stopping atomic.Bool
	go func() {
		err := process.Wait()
		ended <- err
		if !stopping.Load() {
			d.endedOnce.Do(func() { close(d.ended) })
		}
	}()
	d.t.Cleanup(func() {
		stopping.Store(true)
		d.stop(process, ended, logs.Name())
	})
	return process.Process
}

func (d *deployment) stop(process *exec.Cmd, ended <-chan error, logs string) {
	if err := process.Process.Signal(syscall.SIGTERM); !errors.Is(err, os.ErrProcessDone) {
		require.NoError(d.t, err)
	}
	select {
	case err := <-ended:
		if d.t.Failed() || err != nil {
			text, _ := os.ReadFile(logs)
			d.t.Logf("%s:\n%s", filepath.Base(logs), text)
		}
		require.NoError(d.t, err)
	case <-time.After(stopTimeout):
		_ = process.Process.Kill()
		d.t.Error("a process did not exit after SIGTERM")
	}
}

// call sends one request and returns the status, the body and the header of the response. Without a response, the status
// is 0 and the body is the error.
func (d *deployment) call(method, addr, target, body string, header ...string) (int, string, http.Header) {
	request, err := http.NewRequest(method, "http://"+addr+target, strings.NewReader(body))
	require.NoError(d.t, err)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
		if header[i] == "Host" {
			request.Host = header[i+1]
		}
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	return response.StatusCode, string(text), response.Header
}

func (d *deployment) eventually(what string, check func() bool) {
	timeout := time.After(eventTimeout)
	for !check() {
		select {
		case <-d.ended:
			require.FailNow(d.t, "a process ended by itself", what)
		case <-timeout:
			require.FailNow(d.t, "timed out", what)
		case <-time.After(pollInterval):
		}
	}
}

// backend is a backend server as the platform has them: it stamps its responses and refuses requests that are addressed
// to another backend server.
type backend struct {
	id               string
	addr             string
	executedRequests atomic.Int64
}

func startBackend(t *testing.T, id, ip string) *backend {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	b := &backend{id: id, addr: listener.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if r.Header.Get("X-Target-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		b.executedRequests.Add(1)
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Server-Stamp", "stamp-"+id)
		fmt.Fprintf(w, "%s %s %s %s %s", id, r.Method, r.RequestURI, body, r.Header.Get("X-Caller-Service"))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return b
}

// announce announces a backend server to the node on its machine and returns the status of the response.
func (d *deployment) announce(node int, b *backend, state string, seq int) int {
	body := fmt.Sprintf(`{"Service":"rota","Address":"%s","Zone":"zone-%d","Version":"v1","Slots":4,"State":"%s","ColdLeftS":0,"Seq":%d,"born":1700000000000}`, b.addr, node%2, state, seq)
	status, _, _ := d.call("PUT", d.addr(node, 3), "/-/instances/"+b.id, body, "Content-Type", "application/json")
	return status
}

func configDocument(number, timeout string) string {
	return `{"Version":"` + number + `","Routes":{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","Service","MaxAttempts"],"Rows":[` +
		`["read","rota.example","/read/","safe",` + timeout + `,0.3,1,"rota",2],["book","rota.example","/book/","unsafe",1,0.3,0,"rota",2]]},` +
		`"Services":{"Columns":["Name","HealthPath","MaxConnections"],"Rows":[["rota","/health",130]]},"Limits":{"MaxHeaderBytes":16384}}`
}

func TestDaemonOnPlatform(t *testing.T) {
	d := newDeployment(t)
	for i := 1; i <= 3; i++ {
		d.start(i, fmt.Sprintf("Serves = [\"control_plane\"]\nDataDir = %q", filepath.Join(d.dir, strconv.Itoa(i))))
	}
	nodes := []int{4, 5}
	for _, i := range nodes {
		d.start(i, "Serves = [\"sidecar\"]\nService = \"rota\"")
	}
	control := func(n int) string { return d.seeds[n%3] }
	put := func(n int, base, config string) int {
		status, _, _ := d.call("PUT", control(n), "/-/config", config, "If-Match", base, "Content-Type", "application/json")
		return status
	}

	// Configuration: a node refuses calls before it has one. Of several configurations on the same base number, one is
	// accepted. Sending it again is acknowledged again, and reading it returns it as it was sent.
	d.eventually("a node without a configuration refuses calls", func() bool {
		status, _, _ := d.call("GET", d.addr(4, 1), "/read/", "", "Host", "rota.example", "X-Attempt-Id", "0", "X-Deadline-Ms", "500")
		return status == http.StatusServiceUnavailable
	})
	first := configDocument("00000004", "1.0")
	attempts := 0
	d.eventually("the first configuration is accepted", func() bool { attempts++; return put(attempts, "00000000", first) == 200 })
	second := configDocument("0000000c", "0.9")
	d.eventually("the second configuration is accepted", func() bool { attempts++; return put(attempts, "00000004", second) == 200 })
	for n := range 3 {
		require.Equal(t, 200, put(n, "00000000", first), "a configuration that is sent again is acknowledged")
		require.Equal(t, 412, put(n, "00000004", configDocument("0000000d", "0.8")), "a second configuration on the same base number is refused")
		require.Equal(t, 400, put(n, "0000000c", configDocument("0000000d", "601")), "an invalid configuration is refused")
		status, body, _ := d.call("GET", control(n), "/-/config", "")
		require.Equal(t, 200, status)
		require.Equal(t, second, body)
	}

	// Announcements make the nodes ready, and calls reach both backend servers.
	backends := []*backend{startBackend(t, "i-4", ipOf(4)), startBackend(t, "i-5", ipOf(5))}
	var seq atomic.Int64
	stopAnnouncing := make(chan struct{})
	defer close(stopAnnouncing)
	states := [2]atomic.Value{}
	for i := range backends {
		states[i].Store("ready")
		go func() {
			for {
				d.announce(nodes[i], backends[i], states[i].Load().(string), int(seq.Add(1)))
				select {
				case <-stopAnnouncing:
					return
				case <-time.After(500 * time.Millisecond):
				}
			}
		}()
	}
	for _, i := range nodes {
		d.eventually("the node is ready", func() bool {
			status, _, _ := d.call("GET", d.addr(i, 2), "/-/readyz", "")
			return status == 200
		})
	}
	attemptID := 0
	callNode := func(node int, method, path, body string) (int, string, http.Header) {
		attemptID++
		return d.call(method, d.addr(node, 1), path, body, "Host", "rota.example", "X-Attempt-Id", strconv.Itoa(attemptID), "X-Deadline-Ms", "2000")
	}
	d.eventually("both backend servers get calls", func() bool {
		callNode(4, "GET", "/read/1?x=%2F", "")
		callNode(5, "GET", "/read/1?x=%2F", "")
		return backends[0].executedRequests.Load() > 0 && backends[1].executedRequests.Load() > 0
	})
	before := backends[0].executedRequests.Load() + backends[1].executedRequests.Load()
	status, body, header := callNode(4, "POST", "/book/2", "crew")
	require.Equal(t, 200, status)
	require.Contains(t, body, "POST /book/2 crew rota")
	require.Contains(t, header.Get("X-Server-Stamp"), "stamp-")
	require.Equal(t, before+1, backends[0].executedRequests.Load()+backends[1].executedRequests.Load())
	status, _, _ = callNode(4, "GET", "/nowhere/", "")
	require.Equal(t, 404, status)

	// A backend server gets no calls after its announcement that it drains has been acknowledged.
	states[1].Store("draining")
	require.Equal(t, 200, d.announce(5, backends[1], "draining", int(seq.Add(1))))
	executedBefore := backends[1].executedRequests.Load()
	d.eventually("the node uses the other backend server", func() bool {
		status, _, _ := callNode(5, "GET", "/read/3", "")
		return status == 200
	})
	for range 20 {
		status, body, _ := callNode(5, "GET", "/read/3", "")
		require.Equal(t, 200, status)
		require.Contains(t, body, "i-4 ")
	}
	require.Equal(t, executedBefore, backends[1].executedRequests.Load())

	// A rollout to a version that no backend server announces is rolled back at its time limit.
	order := `{"Service":"rota","TargetVersion":"v2","DurationS":2}`
	d.eventually("the rollout is accepted", func() bool {
		status, _, _ := d.call("POST", control(0), "/-/rollouts", order, "Content-Type", "application/json")
		return status == 200
	})
	d.eventually("the rollout is rolled back", func() bool {
		status, body, _ := d.call("GET", control(1), "/-/rollouts/rota", "")
		return status == 200 && strings.Contains(body, `"rolled_back"`) && strings.Contains(body, `"v2"`)
	})
}
