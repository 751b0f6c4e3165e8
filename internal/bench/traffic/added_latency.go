package traffic

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/bench"
	"samphireflow/internal/deployment"
)

const (
	// addedLatencyTarget bounds the latency that the system adds to lookups at the 99th percentile, in milliseconds.
	addedLatencyTarget = 0.39
	// loadWorkers bounds the number of calls in flight.
	loadWorkers = 32
	// rounds is the number of times that direct calls and calls through a node alternate.
	rounds = 4
	// roundDuration is the length of one round.
	roundDuration = 1500 * time.Millisecond
	// warmUpTime is the length of the load before the first round.
	warmUpTime = 2 * time.Second
	// One in traceInterval calls belongs to a sampled trace.
	traceInterval = 100
)

// loadLevels are the fractions of the measured capacity at which the added latency is measured.
var loadLevels = []struct {
	name  string
	share float64
}{{"fifth", 0.2}, {"half", 0.5}, {"full", 1}}

// lookupLayout is a deployment of one service whose calls occupy their slot for almost no time.
func lookupLayout() deployment.Layout {
	return deployment.Layout{
		Name:    "added",
		Domains: []deployment.Domain{{Name: "hobart", Region: "south"}},
		Services: []deployment.Service{{
			Name: "rota", Version: deployment.FirstVersion, ServerDomains: []string{"hobart", "hobart", "hobart", "hobart"},
			Routes: []deployment.Route{
				{Name: "lookup", Method: http.MethodGet, Path: "/rota/*", Idempotent: true},
				{Name: "book", Method: http.MethodPost, Path: "/shifts"},
			},
		}},
		ControlDomains: []string{"hobart"},
		Slots:          loadWorkers,
		Connections:    130,
		Work:           time.Nanosecond,
	}
}

// testDeployment is a running deployment with the addresses that calls go to.
type testDeployment struct {
	deployment *deployment.Deployment
	node       deployment.Process
	servers    []string
	dir        string
}

func startDeployment(ctx context.Context, layout deployment.Layout, traced bool) (*testDeployment, error) {
	dir, err := os.MkdirTemp("", "samphireflow-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create a temporary folder")
	}
	d, err := deployment.New(layout, binDir(), dir)
	if err != nil {
		return nil, err
	}
	if traced {
		d.EnableTracing(dir)
	}
	started := &testDeployment{deployment: d, dir: dir}
	if err := d.Start(ctx); err != nil {
		started.stop()
		return nil, err
	}
	for _, process := range d.Processes() {
		switch {
		case process.Role == deployment.RoleNode && started.node.PID == 0:
			started.node = process
		case process.Role == deployment.RoleBackendServer:
			started.servers = append(started.servers, process.CallerAddr)
		}
	}
	return started, nil
}

func (d *testDeployment) stop() {
	_ = d.deployment.Stop()
	_ = os.RemoveAll(d.dir)
}

// measureAddedLatency measures the latency that a node adds to lookups, untraced and traced, and to bookings with an
// idempotency key. It also measures how many calls a core of a node carries.
func measureAddedLatency(ctx context.Context, _ int64) ([]bench.Result, error) {
	var results []bench.Result
	for _, traced := range []bool{false, true} {
		more, err := addedLatency(ctx, traced)
		results = append(results, more...)
		if err != nil {
			return results, err
		}
	}
	return results, nil
}

func addedLatency(ctx context.Context, traced bool) ([]bench.Result, error) {
	running, err := startDeployment(ctx, lookupLayout(), traced)
	if err != nil {
		return nil, err
	}
	defer running.stop()
	kind := "untraced"
	if traced {
		kind = "traced 1 in " + strconv.Itoa(traceInterval)
	}
	var number atomic.Uint64
	client := newClient(loadWorkers)
	results, err := running.compareLatencies(ctx, client, &number, "lookup, "+kind, lookup(traced), addedLatencyTarget)
	if err != nil || traced {
		return results, err
	}
	more, err := running.compareLatencies(ctx, client, &number, "keyed booking, "+kind, booking, 0)
	return append(results, more...), err
}

// requestBuilder makes the request with the given number to an address.
type requestBuilder func(addr string, number uint64) *http.Request

func lookup(traced bool) requestBuilder {
	return func(addr string, number uint64) *http.Request {
		r, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/rota/"+strconv.FormatUint(number, 10), nil)
		if traced && number%traceInterval == 0 {
			r.Header.Set("Traceparent", fmt.Sprintf("00-%032x-%016x-01", number, number))
		}
		return r
	}
}

func booking(addr string, number uint64) *http.Request {
	key := strconv.FormatUint(number, 10)
	r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/shifts", bytes.NewReader([]byte("booking "+key)))
	r.Header.Set("Idempotency-Key", "bench-"+key)
	return r
}

// compareLatencies compares calls through the node with direct ones at each load level. A target of 0 means none.
func (d *testDeployment) compareLatencies(ctx context.Context, client *http.Client, number *atomic.Uint64, name string, makeRequest requestBuilder, target float64) ([]bench.Result, error) {
	viaNode := func(n uint64) *http.Request { return makeRequest(d.node.CallerAddr, n) }
	direct := func(n uint64) *http.Request { return makeRequest(d.servers[n%uint64(len(d.servers))], n) }
	closedLoop := &loadGenerator{client: client, workers: loadWorkers, number: number}
	closedLoop.run(ctx, warmUpTime, viaNode)
	before, err := cpuSeconds(d.node.PID)
	if err != nil {
		return nil, err
	}
	saturated := closedLoop.run(ctx, 2*roundDuration, viaNode)
	after, err := cpuSeconds(d.node.PID)
	if err != nil {
		return nil, err
	}
	capacity := float64(saturated.succeeded) / saturated.elapsed.Seconds()
	results := []bench.Result{
		bench.Figure("calls/s through one node, "+name, capacity, "calls/s"),
		bench.Figure("calls/s per core of a node, "+name, float64(saturated.succeeded)/(after-before), "calls/s"),
	}
	for _, l := range loadLevels {
		paced := &loadGenerator{client: client, workers: loadWorkers, perSecond: l.share * capacity, number: number}
		baseline, viaNodeStats := newLoadStats(), newLoadStats()
		for range rounds {
			baseline.merge(paced.run(ctx, roundDuration, direct))
			viaNodeStats.merge(paced.run(ctx, roundDuration, viaNode))
		}
		results = append(results, addedLatencyResults(name+", "+l.name, baseline, viaNodeStats, target)...)
	}
	return results, ctx.Err()
}

func addedLatencyResults(name string, baseline, viaNodeStats *loadStats, target float64) []bench.Result {
	added := func(percent float64) float64 { return ms(viaNodeStats.quantile(percent) - baseline.quantile(percent)) }
	tail := bench.Figure("added at the 99th percentile, "+name, added(99), "ms")
	if target > 0 {
		tail = bench.AtMost(tail.Name, tail.Value, tail.Unit, target)
	}
	return []bench.Result{
		bench.Figure("added at the median, "+name, added(50), "ms"),
		tail,
		bench.Figure("direct call at the 99th percentile, "+name, ms(baseline.quantile(99)), "ms"),
		bench.Figure("calls not answered well, "+name, float64(viaNodeStats.failed), "calls"),
	}
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
