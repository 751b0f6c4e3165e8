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
	// overloadDeadline is the time within which an answer is of use.
	overloadDeadline = 100 * time.Millisecond
	// overloadTime is the length of one measurement.
	overloadTime = 3 * time.Second
	// openTick is the time between batches of calls.
	openTick = 2 * time.Millisecond
	// unlimited stands for no bound on a queue.
	unlimited = 1 << 40
)

// overload measures the answers in time at one, two and three times the capacity, with the limits and without.
func overload(ctx context.Context, _ int64) ([]bench.Result, error) {
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

// overloadAt sends calls at a rate, whether they are answered or not, and counts the answers within the deadline.
func overloadAt(ctx context.Context, limited bool, perSecond float64) (float64, *sample) {
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
	front := overloadFront(limited, backends)
	defer front.Close()
	var good atomic.Int64
	refusals := newSample()
	var mu sync.Mutex
	var wg sync.WaitGroup
	client := newClient(1000)
	openLoop(ctx, perSecond, overloadTime, func() {
		wg.Go(func() {
			took, status := timedCall(ctx, client, front.URL+"/rota/x")
			switch {
			case status == http.StatusOK && took <= overloadDeadline:
				good.Add(1)
			case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
				mu.Lock()
				defer mu.Unlock()
				_ = refusals.durations.RecordValue(max(took.Microseconds(), 1))
			}
		})
	})
	wg.Wait()
	return float64(good.Load()), refusals
}

// overloadFront is a node, or a forwarder without limits as the baseline.
func overloadFront(limited bool, backends []*backend) *httptest.Server {
	if !limited {
		return newForwarder(backends)
	}
	var infos []*apiv1.BackendServer
	for i, b := range backends {
		infos = append(infos, b.info("rota", fmt.Sprint("b", i)))
	}
	settings := defaults(tree.KeyCallTimeout, overloadDeadline.String(), tree.KeyCallerShare, "1")
	return newNode(settings, []string{"rota"}, infos...)
}

// newForwarder sends each call to the next backend server.
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

// openLoop calls a function at a rate.
func openLoop(ctx context.Context, perSecond float64, length time.Duration, call func()) {
	ticker := time.NewTicker(openTick)
	defer ticker.Stop()
	started := time.Now()
	sent := 0
	for ctx.Err() == nil {
		elapsed := time.Since(started)
		if elapsed >= length {
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

// amplification counts the attempts for each call while every backend server sheds.
func amplification(ctx context.Context, _ int64) ([]bench.Result, error) {
	const calls = 5000
	var infos []*apiv1.BackendServer
	var backends []*backend
	for i := range 4 {
		b := newBackend(1, -1, 0)
		defer b.server.Close()
		backends = append(backends, b)
		infos = append(infos, b.info("rota", fmt.Sprint("b", i)))
	}
	node := newNode(defaults(), []string{"rota"}, infos...)
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
