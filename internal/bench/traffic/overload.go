package traffic

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/bench"
	"samphireflow/internal/proxy"
	"samphireflow/internal/tree"
)

const (
	overloadServers = 2
	overloadSlots   = 10
	overloadWork    = 10 * time.Millisecond
	// overloadDeadline is the time within which a response counts as goodput.
	overloadDeadline = 100 * time.Millisecond
	// overloadTime is the length of one measurement.
	overloadTime = 3 * time.Second
	// openLoopTick is the time between batches of calls.
	openLoopTick = 2 * time.Millisecond
	// unlimited is a queue length that no load reaches.
	unlimited = 1 << 40
)

// measureOverload measures the goodput at one, two and three times the capacity, with the limits of a node and without.
func measureOverload(ctx context.Context, _ int64) ([]bench.Result, error) {
	var results []bench.Result
	capacity := float64(overloadServers*overloadSlots) / overloadWork.Seconds()
	for _, limited := range []bool{true, false} {
		name := "with limits"
		if !limited {
			name = "without limits"
		}
		for _, factor := range []float64{1, 2, 3} {
			good, refusals := overloadAt(ctx, limited, factor*capacity)
			share := good / (overloadTime.Seconds() * capacity)
			results = append(results, bench.Figure(fmt.Sprintf("goodput at %gx capacity, %s", factor, name), 100*share, "% of capacity"))
			if limited && factor > 1 {
				results = append(results, bench.Figure(fmt.Sprintf("refusals at the 99th percentile at %gx capacity", factor), ms(refusals.quantile(99)), "ms"))
			}
		}
	}
	return results, ctx.Err()
}

// overloadAt sends calls at a fixed rate, regardless of outstanding responses. It returns the number of successful
// responses within the deadline and the latencies of refusals.
func overloadAt(ctx context.Context, limited bool, perSecond float64) (float64, *loadStats) {
	queue := int64(overloadSlots)
	if !limited {
		queue = unlimited
	}
	var backends []*backend
	for range overloadServers {
		b := newBackend(overloadSlots, queue, overloadWork)
		defer b.server.Close()
		backends = append(backends, b)
	}
	front := newOverloadFront(limited, backends)
	defer front.Close()
	var good atomic.Int64
	refusals := newLoadStats()
	var mu sync.Mutex
	var wg sync.WaitGroup
	client := newClient(1000)
	callAtRate(ctx, perSecond, overloadTime, func() {
		wg.Go(func() {
			latency, status := timedCall(ctx, client, front.URL+"/rota/x")
			switch {
			case status == http.StatusOK && latency <= overloadDeadline:
				good.Add(1)
			case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
				mu.Lock()
				defer mu.Unlock()
				_ = refusals.latencies.RecordValue(max(latency.Microseconds(), 1))
			}
		})
	})
	wg.Wait()
	return float64(good.Load()), refusals
}

// newOverloadFront starts a node, or a forwarder without limits as the baseline.
func newOverloadFront(limited bool, backends []*backend) *httptest.Server {
	if !limited {
		return newForwarder(backends)
	}
	var infos []*apiv1.BackendServer
	for i, b := range backends {
		infos = append(infos, b.info("rota", fmt.Sprint("b", i)))
	}
	settings := defaultSettings(tree.KeyCallTimeout, overloadDeadline.String(), tree.KeyCallerShare, "1")
	return newNode(settings, []string{"rota"}, infos...)
}

// newForwarder starts a proxy that sends calls to the backend servers in turn.
func newForwarder(backends []*backend) *httptest.Server {
	var number atomic.Uint64
	client := newClient(1000)
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next := backends[number.Add(1)%uint64(len(backends))]
		request, err := http.NewRequestWithContext(r.Context(), r.Method, next.server.URL+r.URL.Path, nil)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		response, err := client.Do(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
}

// callAtRate calls a function at a fixed rate for the given time.
func callAtRate(ctx context.Context, perSecond float64, duration time.Duration, call func()) {
	ticker := time.NewTicker(openLoopTick)
	defer ticker.Stop()
	started := time.Now()
	sent := 0
	for ctx.Err() == nil {
		elapsed := time.Since(started)
		if elapsed >= duration {
			return
		}
		for due := int(perSecond * elapsed.Seconds()); sent < due; sent++ {
			call()
		}
		<-ticker.C
	}
}

func timedCall(ctx context.Context, client *http.Client, url string) (time.Duration, int) {
	ctx, cancel := context.WithTimeout(ctx, 2*overloadDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, 0
	}
	request.Header.Set(proxy.HeaderCaller, "bench")
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0
	}
	return time.Since(sent), response.StatusCode
}

// measureAmplification counts the attempts per call while every backend server sheds.
func measureAmplification(ctx context.Context, _ int64) ([]bench.Result, error) {
	const calls = 5000
	var infos []*apiv1.BackendServer
	var backends []*backend
	for i := range 4 {
		b := newBackend(1, -1, 0)
		defer b.server.Close()
		backends = append(backends, b)
		infos = append(infos, b.info("rota", fmt.Sprint("b", i)))
	}
	node := newNode(defaultSettings(), []string{"rota"}, infos...)
	defer node.Close()
	client := newClient(1)
	for range calls {
		timedCall(ctx, client, node.URL+"/rota/x")
	}
	attempts := int64(0)
	for _, b := range backends {
		attempts += b.calls.Load()
	}
	return []bench.Result{bench.Figure("attempts for each call during an outage", float64(attempts)/calls, "attempts")}, ctx.Err()
}
