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
	// addedTarget is the time that the system may add to 99 in 100 lookups, in milliseconds.
	addedTarget = 0.39
	// addedWorkers is the number of calls that are under way at most.
	addedWorkers = 32
	// rounds is the number of times that direct calls and calls through a node take turns.
	rounds = 4
	// roundTime is the length of one turn.
	roundTime = 1500 * time.Millisecond
	// warmUp is the time before the first turn.
	warmUp = 2 * time.Second
	// tracedShare is the share of calls in sampled traces, one in so many.
	tracedShare = 100
)

// loads are the shares of what the machine carries at which the added time is measured.
var loads = []struct {
	name  string
	share float64
}{{"fifth", 0.2}, {"half", 0.5}, {"full", 1}}

// addedLayout is one service whose calls take next to no time in their slot.
func addedLayout() deployment.Layout {
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
		Slots:          addedWorkers,
		Connections:    130,
		Work:           time.Nanosecond,
	}
}

// addedRig is a running deployment with its addresses.
type addedRig struct {
	deployment *deployment.Deployment
	node       deployment.Process
	servers    []string
	dir        string
}

func startAdded(ctx context.Context, layout deployment.Layout, traced bool) (*addedRig, error) {
	dir, err := os.MkdirTemp("", "samphireflow-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder")
	}
	d, err := deployment.New(layout, binDir(), dir)
	if err != nil {
		return nil, err
	}
	if traced {
		d.EnableTracing(dir)
	}
	r := &addedRig{deployment: d, dir: dir}
	if err := d.Start(ctx); err != nil {
		r.stop()
		return nil, err
	}
	for _, process := range d.Processes() {
		switch {
		case process.Role == deployment.RoleNode && r.node.PID == 0:
			r.node = process
		case process.Role == deployment.RoleBackendServer:
			r.servers = append(r.servers, process.CallerAddr)
		}
	}
	return r, nil
}

func (r *addedRig) stop() {
	_ = r.deployment.Stop()
	_ = os.RemoveAll(r.dir)
}

// addedTime measures the time that a node adds to lookups and keyed bookings, untraced and traced, and the calls that
// a core of a node carries.
func addedTime(ctx context.Context, _ int64) ([]bench.Result, error) {
	var results []bench.Result
	for _, traced := range []bool{false, true} {
		more, err := addedWith(ctx, traced)
		results = append(results, more...)
		if err != nil {
			return results, err
		}
	}
	return results, nil
}

func addedWith(ctx context.Context, traced bool) ([]bench.Result, error) {
	rig, err := startAdded(ctx, addedLayout(), traced)
	if err != nil {
		return nil, err
	}
	defer rig.stop()
	kind := "untraced"
	if traced {
		kind = "traced 1 in " + strconv.Itoa(tracedShare)
	}
	var number atomic.Uint64
	client := newClient(addedWorkers)
	results, err := rig.addedTo(ctx, client, &number, "lookup, "+kind, lookup(traced), addedTarget)
	if err != nil || traced {
		return results, err
	}
	more, err := rig.addedTo(ctx, client, &number, "keyed booking, "+kind, booking, 0)
	return append(results, more...), err
}

// maker makes a request to an address.
type maker func(addr string, number uint64) *http.Request

func lookup(traced bool) maker {
	return func(addr string, number uint64) *http.Request {
		r, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/rota/"+strconv.FormatUint(number, 10), nil)
		if traced && number%tracedShare == 0 {
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

// addedTo compares calls through the node with direct ones at each load. A target of 0 stands for none.
func (r *addedRig) addedTo(ctx context.Context, client *http.Client, number *atomic.Uint64, name string, makeRequest maker, target float64) ([]bench.Result, error) {
	viaNode := func(n uint64) *http.Request { return makeRequest(r.node.CallerAddr, n) }
	direct := func(n uint64) *http.Request { return makeRequest(r.servers[n%uint64(len(r.servers))], n) }
	closed := &load{client: client, workers: addedWorkers, number: number}
	closed.run(ctx, warmUp, viaNode)
	before, err := cpuSeconds(r.node.PID)
	if err != nil {
		return nil, err
	}
	carried := closed.run(ctx, 2*roundTime, viaNode)
	after, err := cpuSeconds(r.node.PID)
	if err != nil {
		return nil, err
	}
	capacity := float64(carried.good) / carried.took.Seconds()
	results := []bench.Result{
		bench.Figure("calls/s through one node, "+name, capacity, "calls/s"),
		bench.Figure("calls/s per core of a node, "+name, float64(carried.good)/(after-before), "calls/s"),
	}
	for _, l := range loads {
		paced := &load{client: client, workers: addedWorkers, perSecond: l.share * capacity, number: number}
		baseline, through := newSample(), newSample()
		for range rounds {
			baseline.merge(paced.run(ctx, roundTime, direct))
			through.merge(paced.run(ctx, roundTime, viaNode))
		}
		results = append(results, compare(name+", "+l.name, baseline, through, target)...)
	}
	return results, ctx.Err()
}

func compare(name string, baseline, through *sample, target float64) []bench.Result {
	added := func(percent float64) float64 { return ms(through.quantile(percent) - baseline.quantile(percent)) }
	tail := bench.Figure("added at the 99th percentile, "+name, added(99), "ms")
	if target > 0 {
		tail = bench.AtMost(tail.Name, tail.Value, tail.Unit, target)
	}
	return []bench.Result{
		bench.Figure("added at the median, "+name, added(50), "ms"),
		tail,
		bench.Figure("direct call at the 99th percentile, "+name, ms(baseline.quantile(99)), "ms"),
		bench.Figure("calls not answered well, "+name, float64(through.bad), "calls"),
	}
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
