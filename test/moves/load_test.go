// Package moves tests moves of a service to a new version. It runs real processes under load, with faults and network
// partitions.
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
	// callsPerBooking is the number of calls of which one is a booking; the others are lookups.
	callsPerBooking = 3
)

// answeredCall is one call that a backend server answered.
type answeredCall struct {
	at      time.Time
	domain  string
	version string
	failed  bool
}

// loadGenerator sends calls to the service shift-desk from every failure domain until the test ends.
type loadGenerator struct {
	client        *http.Client
	mu            sync.Mutex
	answeredCalls []answeredCall
}

func startLoadGenerator(t *testing.T, d *deployment.Deployment, layout deployment.Layout) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	g := &loadGenerator{client: &http.Client{Timeout: callTimeout}}
	var tasks sync.WaitGroup
	for _, domain := range layout.Domains {
		var nodes []deployment.Process
		for _, node := range harness.ByRole(d, deployment.RoleNode) {
			if node.FailureDomain == domain.Name {
				nodes = append(nodes, node)
			}
		}
		tasks.Go(func() { g.run(ctx, domain.Name, nodes) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		g.client.CloseIdleConnections()
	})
	return g
}

func (g *loadGenerator) run(ctx context.Context, domain string, nodes []deployment.Process) {
	limiter := rate.NewLimiter(callsPerSecond, 1)
	var tasks sync.WaitGroup
	for number := 0; limiter.Wait(ctx) == nil; number++ {
		node := nodes[number%len(nodes)]
		tasks.Go(func() { g.send(domain, node.CallerAddr, number) })
	}
	tasks.Wait()
}

func (g *loadGenerator) send(domain, node string, number int) {
	request, err := newRequest(domain, node, number)
	if err != nil {
		return
	}
	response, err := g.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	version := response.Header.Get(backendserver.HeaderVersion)
	if version == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answeredCalls = append(g.answeredCalls, answeredCall{time.Now(), domain, version, response.StatusCode >= http.StatusInternalServerError})
}

func newRequest(domain, node string, number int) (*http.Request, error) {
	if number%callsPerBooking != 0 {
		return http.NewRequest(http.MethodGet, "http://"+node+"/shifts/"+fmt.Sprint(number), nil)
	}
	key := fmt.Sprintf("%s-%d", domain, number)
	request, err := http.NewRequest(http.MethodPost, "http://"+node+"/shifts", strings.NewReader(key))
	if err == nil {
		request.Header.Set("Idempotency-Key", key)
	}
	return request, err
}

// count returns the number of answered calls that match.
func (g *loadGenerator) count(matches func(answeredCall) bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, call := range g.answeredCalls {
		if matches(call) {
			total++
		}
	}
	return total
}

// lastAnswer returns when a version last answered a call from a failure domain, or from any domain if domain is empty.
func (g *loadGenerator) lastAnswer(version, domain string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var last time.Time
	for _, call := range g.answeredCalls {
		if call.version == version && (domain == "" || call.domain == domain) && call.at.After(last) {
			last = call.at
		}
	}
	return last
}
