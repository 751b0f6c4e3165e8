// Package traffic holds proofs of what happens to calls when processes leave, with real processes.
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
	// callPause is the time between two calls of one caller.
	callPause = 3 * time.Millisecond
	// callersADomain is the number of callers in a failure domain, half of lookups, half of keyed bookings.
	callersADomain = 4
	// giveUp is the time after which a caller gives up.
	giveUp = 5 * time.Second
)

// verdicts counts what became of calls.
type verdicts struct {
	mu      sync.Mutex
	done    int
	refused int
	// cut lists the calls that were sent and have no answer, or an unknown one.
	cut []string
	// notRun lists the answers that say so.
	notRun []string
}

func (v *verdicts) add(name string, got reply, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		v.refused++
	case err != nil:
		v.cut = append(v.cut, name+": "+err.Error())
	case got.outcome == proxy.OutcomeDone && got.status == http.StatusOK:
		v.done++
	case got.outcome == proxy.OutcomeNotRun:
		v.notRun = append(v.notRun, name+": "+got.body)
	default:
		v.cut = append(v.cut, fmt.Sprintf("%s: status %d, outcome %q: %s", name, got.status, got.outcome, got.body))
	}
}

func (v *verdicts) total() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.done
}

// callers call the nodes of their failure domain in turn until the test stops them.
type callers struct {
	verdicts verdicts
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

func startCallers(ctx context.Context, d *deployment.Deployment) *callers {
	c := &callers{}
	ctx, c.cancel = context.WithCancel(ctx)
	byDomain := map[string][]string{}
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		byDomain[node.FailureDomain] = append(byDomain[node.FailureDomain], node.CallerAddr)
	}
	for domain, addrs := range byDomain {
		for i := range callersADomain {
			c.wg.Go(func() { c.run(ctx, fmt.Sprint(domain, "-", i), addrs, i%2 == 0) })
		}
	}
	return c
}

func (c *callers) stop() *verdicts {
	c.cancel()
	c.wg.Wait()
	return &c.verdicts
}

func (c *callers) run(ctx context.Context, name string, addrs []string, books bool) {
	client := &http.Client{Timeout: giveUp, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		addr := addrs[number%len(addrs)]
		id := fmt.Sprintf("%s-%d", name, number)
		request, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/rota/"+id, nil)
		if books {
			request, _ = http.NewRequest(http.MethodPost, "http://"+addr+"/shifts", strings.NewReader(id))
			request.Header.Set(proxy.HeaderIdempotencyKey, id)
		}
		got, err := send(client, request)
		c.verdicts.add(id+" at "+addr, got, err)
		time.Sleep(callPause)
	}
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome proxy.Outcome
	body    string
}

func send(client *http.Client, request *http.Request) (reply, error) {
	response, err := client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, proxy.Outcome(response.Header.Get(proxy.HeaderOutcome)), string(text)}, err
}

// answered waits until a number of further calls have been answered.
func (c *callers) answered(ctx context.Context, t *testing.T, more int) {
	t.Helper()
	wanted := c.verdicts.total() + more
	harness.Eventually(ctx, t, "calls answered", 30*time.Second, func() bool { return c.verdicts.total() >= wanted })
}

// runs counts the executions that a backend server has recorded.
func runs(t *testing.T, server deployment.Process) int {
	t.Helper()
	response, err := http.Get("http://" + server.AdminAddr + "/executions")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return strings.Count(string(text), "\n")
}

func find(t *testing.T, d *deployment.Deployment, role deployment.Role, instance string) deployment.Process {
	t.Helper()
	for _, process := range harness.ByRole(d, role) {
		if process.Instance == instance {
			return process
		}
	}
	require.Failf(t, "no such process", "%s %s", role, instance)
	return deployment.Process{}
}
