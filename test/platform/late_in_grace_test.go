package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	lateGraceS = 10
	// lateAfter is the time after SIGTERM of the requests that come late in the grace period. New connections are still taken.
	lateAfter = 4 * time.Second
)

// lateRequest is the path of the request that may not end before the node does.
const lateRequest = "/book/late"

// startWorkingBackend starts a backend server that works on each request for the time that its query states. It returns its
// address, and sets late if it runs lateRequest.
func startWorkingBackend(t *testing.T, ip string, late *atomic.Bool) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == lateRequest {
			late.Store(true)
		}
		work, _ := time.ParseDuration(r.URL.Query().Get("work"))
		time.Sleep(work)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Stamp", "stamp")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// TestLateRequestsOfAPlannedStopAreNotCut guards against requests that come late in the grace period of a planned stop, are
// passed on, and are cut without an answer when the period ends. Each request must be answered: by the backend server, or with
// the promise that it has not run.
func TestLateRequestsOfAPlannedStopAreNotCut(t *testing.T) {
	d := newDeployment(t)
	d.graceS = lateGraceS
	d.client.Timeout = lateGraceS * time.Second
	for i := 1; i <= 3; i++ {
		d.start(i, fmt.Sprintf("Serves = [\"control_plane\"]\nDataDir = %q", filepath.Join(d.dir, strconv.Itoa(i))))
	}
	node := d.start(4, "Serves = [\"sidecar\"]\nService = \"rota\"")
	d.start(5, "Serves = [\"sidecar\"]\nService = \"rota\"")
	config := strings.Replace(configDocument("00000004", "20"), `"unsafe",1,`, `"unsafe",20,`, 1)
	attempt := 0
	d.eventually("the configuration is accepted", func() bool {
		attempt++
		status, _, _ := d.call("PUT", d.seeds[attempt%3], "/-/config", config, "If-Match", "00000000", "Content-Type", "application/json")
		return status == http.StatusOK
	})
	var lateRan atomic.Bool
	addr, otherAddr := startWorkingBackend(t, ipOf(4), &lateRan), startWorkingBackend(t, ipOf(5), &lateRan)
	var announcing sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer announcing.Wait()
	defer cancel()
	for i, b := range map[int]*backend{4: {id: "i-4", addr: addr}, 5: {id: "i-5", addr: otherAddr}} {
		announcing.Go(func() {
			for seq := 1; ctx.Err() == nil; seq++ {
				d.announce(i, b, "ready", seq)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	request := func(i int, path string, deadline time.Duration) int {
		status, _, _ := d.call("POST", d.addr(i, 1), path, "", "Host", "rota.example", "X-Attempt-Id", path, "X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		return status
	}
	for _, i := range []int{4, 5} {
		d.eventually("the node serves requests", func() bool { return request(i, "/book/first", 2*time.Second) == http.StatusOK })
	}

	require.NoError(t, node.Signal(syscall.SIGTERM))
	time.Sleep(lateAfter)
	late := make(chan int, 1)
	go func() { late <- request(4, lateRequest+"?work=7s", 8*time.Second) }()
	require.Equal(t, http.StatusOK, request(4, "/book/short", 2*time.Second), "what ends in time is served")
	require.Equal(t, http.StatusServiceUnavailable, <-late, "what may not end in time is refused at once")
	time.Sleep(lateGraceS*time.Second - lateAfter)
	require.False(t, lateRan.Load(), "a refused request has not run and never will")
}
