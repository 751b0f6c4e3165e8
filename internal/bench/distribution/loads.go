package distribution

import (
	"context"
	"time"

	"samphireflow/internal/bench"
)

const (
	// loadTime is the time over which the costs of a load are measured.
	loadTime = 20 * time.Second
	// measuredChangeInterval is the time between changes while their cost is measured. It is far shorter than the
	// interval at changesPerDay, for which the cost is interpolated.
	measuredChangeInterval = time.Second
)

// measureLoads measures the costs while idle, with configuration changes and with nodes that restart.
func (c *cluster) measureLoads(ctx context.Context, seed int64, idle cost) ([]bench.Result, error) {
	results := costResults("idle", idle)
	edited, err := c.measureCost(ctx, c.makeRegularEdits)
	if err != nil {
		return results, err
	}
	edits := interpolate(idle, edited, changesPerDay/float64(secondsPerDay)*measuredChangeInterval.Seconds())
	results = append(results, costResults("1,700 changes a day", edits)...)
	churning, err := c.measureCost(ctx, func(ctx context.Context) error {
		restarts := c.startRestartLoop(ctx, seed)
		defer restarts.stop()
		return sleep(loadTime)(ctx)
	})
	return append(results, costResults("2% of nodes restarted a minute", churning)...), err
}

// makeRegularEdits submits edits at a steady rate for loadTime.
func (c *cluster) makeRegularEdits(ctx context.Context) error {
	ticker := time.NewTicker(measuredChangeInterval)
	defer ticker.Stop()
	for range int(loadTime / measuredChangeInterval) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if _, err := c.edit(ctx); err != nil {
			return err
		}
	}
	return nil
}

// interpolate returns the cost at the given share of the way from idle to loaded.
func interpolate(idle, loaded cost, share float64) cost {
	mixRates := func(a, b usageRate) usageRate {
		return usageRate{
			cores:    a.cores + share*(b.cores-a.cores),
			sent:     a.sent + share*(b.sent-a.sent),
			received: a.received + share*(b.received-a.received),
		}
	}
	return cost{
		nodes:   idle.nodes,
		control: mixRates(idle.control, loaded.control),
		relay:   mixRates(idle.relay, loaded.relay),
		node:    mixRates(idle.node, loaded.node),
	}
}
