package deployment

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"samphireflow/internal/proxy"
)

const (
	// callersPerDomain is the number of concurrent callers in one failure domain.
	callersPerDomain = 4
	// callsPerSecond bounds the rate of calls from one failure domain.
	callsPerSecond = 150
	// callerTimeout is the time after which a caller gives up.
	callerTimeout = 5 * time.Second
)

// traffic sends calls from every failure domain to the nodes there until it is stopped.
type traffic struct {
	stats   *callStats
	client  *http.Client
	cancel  context.CancelFunc
	callers sync.WaitGroup
}

// startTraffic starts the callers. Those of a failure domain cycle through all routes and the nodes of the domain.
func startTraffic(layout Layout, nodes []Process) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{
		stats:  newCallStats(),
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callersPerDomain}},
		cancel: cancel,
	}
	for _, domain := range layout.Domains {
		generator := &requestGenerator{domain: domain.Name, routes: layout.Routes(), nodes: callerAddrs(nodes, domain.Name)}
		limiter := rate.NewLimiter(callsPerSecond, 1)
		for range callersPerDomain {
			t.callers.Go(func() { t.runCaller(ctx, generator, limiter) })
		}
	}
	return t
}

// callerAddrs returns the caller addresses of the nodes in a failure domain.
func callerAddrs(nodes []Process, domain string) []string {
	var addrs []string
	for _, node := range nodes {
		if node.FailureDomain == domain {
			addrs = append(addrs, node.CallerAddr)
		}
	}
	return addrs
}

// stop stops the callers and waits until the calls in flight have ended.
func (t *traffic) stop() {
	t.cancel()
	t.callers.Wait()
	t.client.CloseIdleConnections()
}

// runCaller sends requests, one after the other, until the context ends.
func (t *traffic) runCaller(ctx context.Context, generator *requestGenerator, limiter *rate.Limiter) {
	for limiter.Wait(ctx) == nil {
		request, number := generator.next()
		got := t.send(request, generator, number)
		t.stats.record(generator.domain, request, got, time.Now())
	}
}

// send tries the nodes of the failure domain, starting at a different one for each request, until one accepts the
// connection.
func (t *traffic) send(request *request, generator *requestGenerator, number uint64) callResult {
	for i := range uint64(len(generator.nodes)) {
		node := generator.nodes[(number+i)%uint64(len(generator.nodes))]
		got, err := request.send(context.Background(), t.client, node)
		if err == nil {
			return got
		}
	}
	return callResult{outcome: proxy.OutcomeNotRun}
}
