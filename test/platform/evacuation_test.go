package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvacuationHoldsWhileEachControlInstanceFreezes gives and withdraws the evacuation of one of two failure domains while one
// control instance after the other stands still, the leader among them. What is acknowledged is in force at both nodes, also
// after the next configuration, and a thawed instance brings no older order back.
func TestEvacuationHoldsWhileEachControlInstanceFreezes(t *testing.T) {
	d := newDeployment(t)
	// The platform's operator turns to another instance after a second.
	d.client.Timeout = time.Second
	var control []*os.Process
	for i := 1; i <= 3; i++ {
		control = append(control, d.start(i, fmt.Sprintf("Serves = [\"control_plane\"]\nDataDir = %q", filepath.Join(d.dir, strconv.Itoa(i)))))
	}
	nodes := []int{4, 5}
	for _, i := range nodes {
		d.start(i, "Serves = [\"sidecar\"]\nService = \"rota\"")
	}
	attempt := 0
	// send sends a request to one control instance after the other until it is acknowledged.
	send := func(method, path, body string, header ...string) {
		d.eventually(method+" "+path, func() bool {
			attempt++
			status, _, _ := d.call(method, d.seeds[attempt%3], path, body, header...)
			require.NotContains(t, []int{400, 404, 409, 412}, status, "%s %s", method, path)
			return status == http.StatusOK
		})
	}
	send("PUT", "/-/config", configDocument("00000004", "1"), "If-Match", "00000000")

	backends := []*backend{startBackend(t, "i-4", ipOf(4)), startBackend(t, "i-5", ipOf(5))}
	var announcing sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer announcing.Wait()
	defer cancel()
	for n, b := range backends {
		announcing.Go(func() {
			for seq := 1; ctx.Err() == nil; seq++ {
				d.announce(nodes[n], b, "ready", seq)
				select {
				case <-ctx.Done():
				case <-time.After(500 * time.Millisecond):
				}
			}
		})
	}
	// servedBy calls once at each node and returns whether each call was answered, and which backend servers answered.
	calls := 0
	servedBy := func() (answered int, servers map[string]bool) {
		servers = map[string]bool{}
		for _, node := range nodes {
			calls++
			status, body, _ := d.call("GET", d.addr(node, 1), "/read/"+strconv.Itoa(calls), "", "Host", "rota.example", "X-Attempt-Id", strconv.Itoa(calls), "X-Deadline-Ms", "2000")
			if status == http.StatusOK {
				answered++
				name, _, _ := strings.Cut(body, " ")
				servers[name] = true
			}
		}
		return answered, servers
	}
	seen := func(wanted ...string) func() bool {
		missing := map[string]bool{}
		for _, name := range wanted {
			missing[name] = true
		}
		return func() bool {
			_, servers := servedBy()
			for name := range servers {
				delete(missing, name)
			}
			return len(missing) == 0
		}
	}
	d.eventually("both backend servers get calls", seen("i-4", "i-5"))

	const evacuations = "/-/evacuations/"
	for round, frozen := range control {
		require.NoError(t, frozen.Signal(syscall.SIGSTOP))
		send("POST", evacuations+"zone-1", "")
		send("POST", evacuations+"zone-1", "")
		d.eventually("only the other failure domain gets calls", func() bool {
			before := backends[1].executedRequests.Load()
			answered, servers := servedBy()
			return answered == 2 && servers["i-4"] && backends[1].executedRequests.Load() == before
		})
		number, base := fmt.Sprintf("%08x", 5+round), fmt.Sprintf("%08x", 4+round)
		send("PUT", "/-/config", configDocument(number, fmt.Sprintf("1.%d", round)), "If-Match", base)
		require.NoError(t, frozen.Signal(syscall.SIGCONT))
		// The thawed instance must find the order in force, not make it anew.
		d.eventually("the thawed instance answers", func() bool {
			status, _, _ := d.call("POST", d.seeds[round], evacuations+"zone-1", "")
			return status == http.StatusOK
		})
		before := backends[1].executedRequests.Load()
		for range 20 {
			answered, _ := servedBy()
			require.Equal(t, 2, answered)
		}
		require.Equal(t, before, backends[1].executedRequests.Load())
		send("DELETE", evacuations+"zone-1", "")
		send("DELETE", evacuations+"zone-1", "")
		d.eventually("both backend servers get calls again", seen("i-4", "i-5"))
	}

	// All evacuated: calls are refused at once, with the promise that they have not run.
	send("POST", evacuations+"zone-0", "")
	send("POST", evacuations+"zone-1", "")
	d.eventually("all calls are refused", func() bool { answered, _ := servedBy(); return answered == 0 })
	status, _, _ := d.call("GET", d.addr(4, 1), "/read/last", "", "Host", "rota.example", "X-Attempt-Id", "last", "X-Deadline-Ms", "2000")
	require.Equal(t, http.StatusServiceUnavailable, status)
	d.eventually("a typo is refused", func() bool {
		status, _, _ := d.call("POST", d.seeds[0], evacuations+"zone-7", "")
		require.NotEqual(t, http.StatusOK, status)
		return status == http.StatusNotFound
	})
}
