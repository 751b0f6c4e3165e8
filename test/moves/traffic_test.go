// Package moves proves moves on real processes under calls, faults and cuts.
package moves

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"samphireflow/internal/backendserver"
	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

const (
	// callsPerSecond is the rate of calls from each failure domain.
	callsPerSecond = 50
	callTimeout    = 3 * time.Second
	// bookEvery is the count of calls of which one is a booking.
	bookEvery = 3
)

// answered is one call that a backend server answered.
type answered struct {
	at      time.Time
	domain  string
	version string
	failed  bool
}

// traffic calls the shift desk from every failure domain until the test ends.
type traffic struct {
	client *http.Client
	mu     sync.Mutex
	calls  []answered
}

func startTraffic(t *testing.T, d *deployment.Deployment, layout deployment.Layout) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	calls := &traffic{client: &http.Client{Timeout: callTimeout}}
	var tasks sync.WaitGroup
	for _, domain := range layout.Domains {
		var nodes []deployment.Process
		for _, node := range harness.ByRole(d, deployment.RoleNode) {
			if node.FailureDomain == domain.Name {
				nodes = append(nodes, node)
			}
		}
		tasks.Go(func() { calls.run(ctx, domain.Name, nodes) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		calls.client.CloseIdleConnections()
	})
	return calls
}

func (c *traffic) run(ctx context.Context, domain string, nodes []deployment.Process) {
	limiter := rate.NewLimiter(callsPerSecond, 1)
	var tasks sync.WaitGroup
	for number := 0; limiter.Wait(ctx) == nil; number++ {
		node := nodes[number%len(nodes)]
		tasks.Go(func() { c.send(domain, node.CallerAddr, number) })
	}
	tasks.Wait()
}

func (c *traffic) send(domain, node string, number int) {
	request, err := newRequest(domain, node, number)
	if err != nil {
		return
	}
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	version := response.Header.Get(backendserver.HeaderVersion)
	if version == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, answered{time.Now(), domain, version, response.StatusCode >= http.StatusInternalServerError})
}

func newRequest(domain, node string, number int) (*http.Request, error) {
	if number%bookEvery != 0 {
		return http.NewRequest(http.MethodGet, "http://"+node+"/shifts/"+fmt.Sprint(number), nil)
	}
	key := fmt.Sprintf("%s-%d", domain, number)
	request, err := http.NewRequest(http.MethodPost, "http://"+node+"/shifts", strings.NewReader(key))
	if err == nil {
		request.Header.Set("Idempotency-Key", key)
	}
	return request, err
}

// count counts the calls that hold.
func (c *traffic) count(holds func(answered) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, call := range c.calls {
		if holds(call) {
			sum++
		}
	}
	return sum
}

// lastOf returns when a version last answered a call from a failure domain; of any domain when it is empty.
func (c *traffic) lastOf(version, domain string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for _, call := range c.calls {
		if call.version == version && (domain == "" || call.domain == domain) && call.at.After(last) {
			last = call.at
		}
	}
	return last
}
