package distribution

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/bench"
	"samphireflow/internal/deployment"
)

// sizes lists the numbers of nodes at which convergence and costs are measured.
var sizes = []int{24, 100, 300, 920}

const (
	// idleTime is the time over which idle costs are measured.
	idleTime = 20 * time.Second
	// byteTarget bounds the control traffic that a node sends and receives, in bytes per second. processorTarget bounds
	// its processor use in percent of a core, and memoryTarget its memory in MB.
	byteTarget      = 5 * 1024
	processorTarget = 1.7
	memoryTarget    = 64
	// changesPerDay is the number of configuration changes a day that the system is specified for.
	changesPerDay = 1700
	secondsPerDay = 24 * 60 * 60
)

// Run measures the distribution of configuration and membership. It returns the results so far also after an error.
func Run(ctx context.Context, seed int64) ([]bench.Result, error) {
	dir, err := os.MkdirTemp("", "samphireflow-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create a temporary folder")
	}
	c, err := startCluster(ctx, dir)
	if c != nil {
		defer func() { _ = c.stop() }()
	}
	if err != nil {
		return nil, err
	}
	results, err := c.run(ctx, seed)
	if err != nil {
		return results, errors.WithMessagef(err, "process logs are kept in %s", dir)
	}
	return results, os.RemoveAll(dir)
}

func (c *cluster) run(ctx context.Context, seed int64) ([]bench.Result, error) {
	var results []bench.Result
	var idle []cost
	for _, size := range sizes {
		if err := c.resize(ctx, size); err != nil {
			return results, err
		}
		measured, err := c.measureCost(ctx, sleep(idleTime))
		if err != nil {
			return results, err
		}
		idle = append(idle, measured)
		converged, err := c.measureConvergence(ctx, seed)
		results = append(results, converged...)
		if err != nil {
			return results, err
		}
	}
	results = append(results, scalingResults(idle)...)
	for _, step := range []func(context.Context, int64, cost) ([]bench.Result, error){c.measureLoads, c.measureMemory, c.measureRestartStorms, c.measureBaseline} {
		more, err := step(ctx, seed, idle[len(idle)-1])
		results = append(results, more...)
		if err != nil {
			return results, err
		}
	}
	return results, nil
}

// resize grows the cluster to a size, waits until all nodes act on the newest version and lets the cluster settle.
func (c *cluster) resize(ctx context.Context, size int) error {
	if err := c.fleet.growTo(ctx, size-relayHosts*len(domains)); err != nil {
		return err
	}
	if err := c.awaitVersion(ctx, c.baseVersion); err != nil {
		return err
	}
	return sleep(settleTime + time.Duration(size)*settlePerNode)(ctx)
}

// scalingResults fits the cost of a control instance and of a relay linearly to the number of nodes.
func scalingResults(costs []cost) []bench.Result {
	var results []bench.Result
	for _, role := range []struct {
		name string
		of   func(cost) usageRate
	}{
		{"control instance", func(c cost) usageRate { return c.control }},
		{"relay", func(c cost) usageRate { return c.relay }},
	} {
		var nodes, cores, bytes []float64
		for _, measured := range costs {
			nodes = append(nodes, float64(measured.nodes))
			cores = append(cores, 100*role.of(measured).cores)
			bytes = append(bytes, role.of(measured).bytes())
		}
		slope, intercept := fitLine(nodes, cores)
		results = append(results,
			bench.Figure(role.name+", processor a node of the deployment", slope, "% of a core"),
			bench.Figure(role.name+", processor without nodes", intercept, "% of a core"))
		slope, intercept = fitLine(nodes, bytes)
		results = append(results,
			bench.Figure(role.name+", bytes a node of the deployment", slope, "B/s"),
			bench.Figure(role.name+", bytes without nodes", intercept, "B/s"))
	}
	return results
}

// costResults returns the results of one load.
func costResults(load string, measured cost) []bench.Result {
	return []bench.Result{
		bench.AtMost("node, bytes, "+load, measured.node.bytes(), "B/s", byteTarget),
		bench.AtMost("node, processor, "+load, 100*measured.node.cores, "% of a core", processorTarget),
		bench.Figure("relay, bytes sent, "+load, measured.relay.sent, "B/s"),
		bench.Figure("relay, bytes received, "+load, measured.relay.received, "B/s"),
		bench.Figure("relay, processor, "+load, 100*measured.relay.cores, "% of a core"),
		bench.Figure("control instance, bytes sent, "+load, measured.control.sent, "B/s"),
		bench.Figure("control instance, bytes received, "+load, measured.control.received, "B/s"),
		bench.Figure("control instance, processor, "+load, 100*measured.control.cores, "% of a core"),
	}
}

// measureMemory measures the resident memory of each role.
func (c *cluster) measureMemory(context.Context, int64, cost) ([]bench.Result, error) {
	here, err := residentBytes(os.Getpid())
	if err != nil {
		return nil, err
	}
	results := []bench.Result{bench.Figure("node, memory, many to a process", here/1e6/float64(len(c.fleet.nodes)), "MB")}
	for _, role := range []deployment.Role{deployment.RoleNode, deployment.RoleControl} {
		var most float64
		for _, pid := range c.pids(role) {
			resident, err := residentBytes(pid)
			if err != nil {
				return results, err
			}
			most = max(most, resident/1e6)
		}
		name := "control instance, memory, largest process"
		if role == deployment.RoleNode {
			results = append(results, bench.AtMost("relay, memory, largest process", most, "MB", memoryTarget))
			continue
		}
		results = append(results, bench.Figure(name, most, "MB"))
	}
	return results, nil
}
