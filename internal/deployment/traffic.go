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
	// callersPerDomain is the number of callers that call at the same time from one failure domain.
	callersPerDomain = 4
	// callsPerSecond is the rate of calls from one failure domain.
	callsPerSecond = 150
	// callerTimeout is the time after which a caller gives up.
	callerTimeout = 5 * time.Second
)

// traffic sends calls from every failure domain to the nodes there until it is stopped.
type traffic struct {
	tally  *tally
	client *http.Client
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// startTraffic starts the callers. Each takes the routes and the nodes of its failure domain in turn.
func startTraffic(layout Layout, nodes []Process) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{
		tally:  newTally(),
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callersPerDomain}},
		cancel: cancel,
	}
	for _, domain := range layout.Domains {
		source := &source{domain: domain.Name, routes: layout.Routes(), nodes: callerAddrs(nodes, domain.Name)}
		limiter := rate.NewLimiter(callsPerSecond, 1)
		for range callersPerDomain {
			t.tasks.Go(func() { t.call(ctx, source, limiter) })
		}
	}
	return t
}

func callerAddrs(nodes []Process, domain string) []string {
	var addrs []string
	for _, node := range nodes {
		if node.FailureDomain == domain {
			addrs = append(addrs, node.CallerAddr)
		}
	}
	return addrs
}

// stop ends the traffic once the calls in flight are answered.
func (t *traffic) stop() {
	t.cancel()
	t.tasks.Wait()
	t.client.CloseIdleConnections()
}

func (t *traffic) call(ctx context.Context, source *source, limiter *rate.Limiter) {
	for limiter.Wait(ctx) == nil {
		request, number := source.next()
		got := t.send(request, source, number)
		t.tally.record(source.domain, request, got, time.Now())
	}
}

// send sends a request to the nodes of the domain in turn until one takes the connection.
func (t *traffic) send(request *request, source *source, number uint64) answer {
	for i := range uint64(len(source.nodes)) {
		node := source.nodes[(number+i)%uint64(len(source.nodes))]
		got, err := request.send(context.Background(), t.client, node)
		if err == nil {
			return got
		}
	}
	return answer{outcome: proxy.OutcomeNotRun}
}
