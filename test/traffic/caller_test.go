// Package traffic tests with real processes what happens to calls when processes drain, stop or crash.
package traffic

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
	"samphireflow/internal/proxy"
	"samphireflow/test/harness"
)

const (
	// callPause is the time that a caller waits between two calls.
	callPause = 3 * time.Millisecond
	// callersPerDomain is the number of callers in a failure domain. Half of them send lookups, the others bookings
	// with an idempotency key.
	callersPerDomain = 4
	// callerTimeout is the time after which a caller abandons a call.
	callerTimeout = 5 * time.Second
)

// callResults collects the results of calls.
type callResults struct {
	mu sync.Mutex
	// done counts the calls that succeeded.
	done int
	// refused counts the calls for which no connection could be opened.
	refused int
	// interrupted lists the calls that were sent and got no response, or one with another status or outcome.
	interrupted []string
	// notRun lists the calls whose response has the outcome not-run.
	notRun []string
}

func (r *callResults) record(name string, got callerResponse, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		r.refused++
	case err != nil:
		r.interrupted = append(r.interrupted, name+": "+err.Error())
	case got.outcome == proxy.OutcomeDone && got.status == http.StatusOK:
		r.done++
	case got.outcome == proxy.OutcomeNotRun:
		r.notRun = append(r.notRun, name+": "+got.body)
	default:
		r.interrupted = append(r.interrupted, fmt.Sprintf("%s: status %d, outcome %q: %s", name, got.status, got.outcome, got.body))
	}
}

func (r *callResults) completed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

// callers send calls to the nodes of their failure domain in turn until the test stops them.
type callers struct {
	results callResults
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func startCallers(ctx context.Context, d *deployment.Deployment) *callers {
	c := &callers{}
	ctx, c.cancel = context.WithCancel(ctx)
	byDomain := map[string][]string{}
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		byDomain[node.FailureDomain] = append(byDomain[node.FailureDomain], node.CallerAddr)
	}
	for domain, addrs := range byDomain {
		for i := range callersPerDomain {
			c.wg.Go(func() { c.run(ctx, fmt.Sprint(domain, "-", i), addrs, i%2 == 0) })
		}
	}
	return c
}

func (c *callers) stop() *callResults {
	c.cancel()
	c.wg.Wait()
	return &c.results
}

func (c *callers) run(ctx context.Context, name string, addrs []string, booking bool) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		addr := addrs[number%len(addrs)]
		id := fmt.Sprintf("%s-%d", name, number)
		request, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/rota/"+id, nil)
		if booking {
			request, _ = http.NewRequest(http.MethodPost, "http://"+addr+"/shifts", strings.NewReader(id))
			request.Header.Set(proxy.HeaderIdempotencyKey, id)
		}
		got, err := send(client, request)
		c.results.record(id+" at "+addr, got, err)
		time.Sleep(callPause)
	}
}

// callerResponse is the part of a response that the tests check.
type callerResponse struct {
	status  int
	outcome proxy.Outcome
	body    string
}

func send(client *http.Client, request *http.Request) (callerResponse, error) {
	response, err := client.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, proxy.Outcome(response.Header.Get(proxy.HeaderOutcome)), string(text)}, err
}

// awaitCompleted waits until a number of further calls have succeeded.
func (c *callers) awaitCompleted(ctx context.Context, t *testing.T, more int) {
	t.Helper()
	wanted := c.results.completed() + more
	harness.Eventually(ctx, t, "completed calls", 30*time.Second, func() bool { return c.results.completed() >= wanted })
}

// countExecutions returns the number of executions that a backend server has recorded.
func countExecutions(t *testing.T, server deployment.Process) int {
	t.Helper()
	response, err := http.Get("http://" + server.AdminAddr + "/executions")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return strings.Count(string(text), "\n")
}

func findProcess(t *testing.T, d *deployment.Deployment, role deployment.Role, instance string) deployment.Process {
	t.Helper()
	for _, process := range harness.ByRole(d, role) {
		if process.Instance == instance {
			return process
		}
	}
	require.Failf(t, "no such process", "%s %s", role, instance)
	return deployment.Process{}
}
