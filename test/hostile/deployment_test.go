// Package hostile_test lets crowds of misbehaving callers loose on the daemon's own processes, over the loopback interface. Its
// cases are run one at a time and apart from other load:
//
//	SAMPHIREFLOW_PROVE=1 go test -count=1 -p 1 ./test/hostile
//
// Without the variable, three kinds of crowds run at each address.
package hostile_test

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
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	// The test builds the daemon from these packages. The imports make go test's cache notice their changes.
	_ "samphireflow/internal/daemon"
	_ "samphireflow/platform"
)

// Limits of each process. The smallest instance in force has 184 MB and 4,100 descriptors; fewer let a small crowd do the harm.
const (
	memoryMB = 96
	// fewFds and manyFds are numbers of descriptors, of which reservedFds are not for sockets.
	fewFds      = 456
	manyFds     = 4100
	reservedFds = 200
)

const (
	// eventTimeout bounds each wait for an event. It ends a test that fails; an ordinary caller is answered much sooner.
	eventTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// The processes of a deployment: a control instance, the node beside the backend server, and a node that forwards to it.
const (
	controlInstance = 1
	attackedNode    = 2
	otherNode       = 3
)

// Indexes of listenPorts.
const (
	inboundPort = iota
	outboundPort
	readyPort
	controlPort
)

// listenPorts are below the range that the kernel hands out, so that no other process is given one of them.
var listenPorts = [4]int{20201, 20202, 20203, 20204}

const firstInternalPort = 20300

// deployment is a small deployment as the users' platform runs it.
type deployment struct {
	t         *testing.T
	dir       string
	maxFds    int
	processes map[int]*process
	announced atomic.Int64
	backend   string
	// ran holds the IDs of the requests that the backend server has begun to run.
	ran sync.Map
}

// process is a running daemon. ended is closed when it has ended.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	logs    string
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// buildDaemon builds the daemon once for all tests.
var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "samphireflowd")
	output, err := exec.Command("go", "build", "-o", binary, "samphireflow/cmd/samphireflowd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return binary, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if binary, err := buildDaemon(); err == nil {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// ipOf returns the IP address of instance i. It depends on the process ID, so that concurrent test runs on one machine do
// not collide.
func ipOf(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, i)
}

func addrOf(i, port int) string { return net.JoinHostPort(ipOf(i), strconv.Itoa(listenPorts[port])) }

func internalAddrOf(i, offset int) string {
	return net.JoinHostPort(ipOf(i), strconv.Itoa(firstInternalPort+20*i+offset))
}

// startDeployment starts a deployment and waits until it serves calls.
func startDeployment(t *testing.T, maxFds int) *deployment {
	d := startInstances(t, maxFds)
	d.configure()
	return d
}

// startInstances starts the processes of a deployment without a configuration.
func startInstances(t *testing.T, maxFds int) *deployment {
	d := &deployment{t: t, maxFds: maxFds, dir: t.TempDir(), processes: map[int]*process{}}
	d.backend = startBackend(t, &d.ran)
	d.start(controlInstance, fmt.Sprintf("Serves = [\"control_plane\"]\nDataDir = %q", filepath.Join(d.dir, "data")))
	d.start(attackedNode, "Serves = [\"sidecar\"]\nService = \"rota\"")
	d.start(otherNode, "Serves = [\"sidecar\"]\nService = \"other\"")
	return d
}

// configure sends the first configuration, lets the backend server announce itself and waits until calls are served.
func (d *deployment) configure() {
	t := d.t
	require.True(t, d.waitFor(func() bool {
		return call("PUT", addrOf(controlInstance, controlPort), "/-/config", configDocument, "If-Match", "00000000", "Content-Type", "application/json") == 200
	}), "the configuration is accepted")
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			d.announce()
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
	for _, node := range []int{attackedNode, otherNode} {
		require.True(t, d.waitFor(func() bool { return ordinaryCall(node) }), "calls are served before the crowd comes")
	}
}

const configDocument = `{"Version":"00000004","Routes":{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","Service","MaxAttempts"],"Rows":[` +
	`["read","rota.example","/read/","safe",60,30,1,"rota",2],["book","rota.example","/book/","unsafe",60,30,0,"rota",2]]},` +
	`"Services":{"Columns":["Name","HealthPath","MaxConnections"],"Rows":[["rota","/health",130]]},` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// start runs one instance with the limits of the test and stops it with SIGTERM at the end of the test.
func (d *deployment) start(i int, local string) {
	binary, err := buildDaemon()
	require.NoError(d.t, err)
	text := fmt.Sprintf(`[LocalNode]
Node = "instance-%d"
Ip = "%s"
Zone = "zone-%d"
Region = "r"
Bootstrap = true
%s
[LocalNode.Limits]
MemoryMb = %d
MaxFds = %d
[Network]
InternalPortRange = [%d,%d]
Seeds = ["%s"]
[Network.Listen]
Inbound = "%s"
Outbound = "%s"
Ready = "%s"
Control = "%s"
[Terms.Bounds]
GraceS = 6
ConfigPropagationS = 2
`, i, ipOf(i), i%2, local, memoryMB, d.maxFds, firstInternalPort+20*i, firstInternalPort+20*i+15, addrOf(controlInstance, controlPort),
		addrOf(i, inboundPort), addrOf(i, outboundPort), addrOf(i, readyPort), addrOf(i, controlPort))
	path := filepath.Join(d.dir, fmt.Sprintf("instance-%d.toml", i))
	require.NoError(d.t, os.WriteFile(path, []byte(text), 0o600))
	logs, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("instance-%d.log", i)))
	require.NoError(d.t, err)
	p := &process{command: exec.Command(binary), ended: make(chan struct{}), logs: logs.Name()}
	p.command.Env = append(os.Environ(), "SAMPHIREFLOW_SETTINGS="+path)
	p.command.Stdout, p.command.Stderr = logs, logs
	require.NoError(d.t, p.command.Start())
	limit := unix.Rlimit{Cur: uint64(d.maxFds - reservedFds), Max: uint64(d.maxFds - reservedFds)}
	require.NoError(d.t, unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	d.processes[i] = p
	d.t.Cleanup(func() { d.stop(i) })
}

// stop kills an instance: how it stops is not the subject here.
func (d *deployment) stop(i int) {
	p := d.processes[i]
	_ = p.command.Process.Kill()
	<-p.ended
	if d.t.Failed() {
		text, _ := os.ReadFile(p.logs)
		const end = 500
		d.t.Logf("end of the log of instance %d:\n%s", i, text[max(0, len(text)-end):])
	}
}

// waitFor waits until a check holds. It reports false if a process has ended or the time is up.
func (d *deployment) waitFor(check func() bool) bool {
	for timeout := time.Now().Add(eventTimeout); time.Now().Before(timeout); time.Sleep(pollInterval) {
		if check() {
			return true
		}
		for _, p := range d.processes {
			if !p.alive() {
				return false
			}
		}
	}
	return false
}

// client opens a connection for each request, as a caller does that comes while the crowd is there.
var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request and returns the status of the response, 0 without one.
func call(method, addr, target, body string, header ...string) int {
	request, err := http.NewRequest(method, "http://"+addr+target, strings.NewReader(body))
	if err != nil {
		return 0
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
		if header[i] == "Host" {
			request.Host = header[i+1]
		}
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// ordinaryCall reports whether a node answers an ordinary caller with the response of the backend server.
func ordinaryCall(node int) bool {
	return call("POST", addrOf(node, outboundPort), "/book/1", "crew", "Host", "rota.example", "X-Attempt-Id", "1", "X-Deadline-Ms", "4000") == 200
}

// announce announces the backend server to its node and reports whether the node has acknowledged that.
func (d *deployment) announce() bool {
	body := fmt.Sprintf(`{"Service":"rota","Address":"%s","Zone":"zone-0","Version":"v1","Slots":64,"State":"ready","ColdLeftS":0,"Seq":%d,"born":1700000000000}`,
		d.backend, d.announced.Add(1))
	return call("PUT", addrOf(attackedNode, controlPort), "/-/instances/i-2", body, "Content-Type", "application/json") == 200
}

// largeResponseBytes is the length of the backend server's responses below /read/large.
const largeResponseBytes = 100 << 10

// startBackend starts a backend server as the platform has them and returns its address. It stores the IDs of the requests that
// it runs.
func startBackend(t *testing.T, ran *sync.Map) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(ipOf(attackedNode), "0"))
	require.NoError(t, err)
	large := strings.Repeat("x", largeResponseBytes)
	unread := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		ran.Store(r.Header.Get("X-Attempt-Id"), true)
		if r.RequestURI == "/book/unread" {
			<-unread
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("X-Server-Stamp", "stamp")
		if strings.HasPrefix(r.RequestURI, "/read/large") {
			_, _ = io.WriteString(w, large)
		}
		if length, found := strings.CutPrefix(r.RequestURI, "/read/bytes/"); found {
			n, _ := strconv.ParseInt(length, 10, 64)
			w.Header().Set("Content-Length", length)
			_, _ = io.CopyN(w, zeros{}, n)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		close(unread)
		_ = server.Close()
	})
	return listener.Addr().String()
}
