package distribution

import (
	"context"
	"time"

	"samphireflow/internal/bench"
)

const (
	// loadTime is the time over which the costs of a load are measured.
	loadTime = 20 * time.Second
	// measuredChangeInterval is the time between changes while their cost is measured; the cost at the rate of the
	// letter is worked out from it.
	measuredChangeInterval = time.Second
)

// loads measures the costs of doing nothing, of changes of configuration and of endpoints that come and go.
func (c *cluster) loads(ctx context.Context, seed int64, idle cost) ([]bench.Result, error) {
	results := describe("idle", idle)
	often, err := c.measure(ctx, c.editRegularly)
	if err != nil {
		return results, err
	}
	changing := atRate(idle, often, changesPerDay/float64(secondsPerDay)*measuredChangeInterval.Seconds())
	results = append(results, describe("1,700 changes a day", changing)...)
	churning, err := c.measure(ctx, func(ctx context.Context) error {
		restarts := c.startRestarts(ctx, seed)
		defer restarts.stop()
		return rest(loadTime)(ctx)
	})
	return append(results, describe("2% of nodes restarted a minute", churning)...), err
}

// editRegularly makes edits at a steady rate.
func (c *cluster) editRegularly(ctx context.Context) error {
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

// atRate works out the cost of a share of a load.
func atRate(idle, loaded cost, share float64) cost {
	mix := func(a, b rate) rate {
		return rate{
			cores:    a.cores + share*(b.cores-a.cores),
			sent:     a.sent + share*(b.sent-a.sent),
			received: a.received + share*(b.received-a.received),
		}
	}
	return cost{
		nodes:   idle.nodes,
		control: mix(idle.control, loaded.control),
		relay:   mix(idle.relay, loaded.relay),
		node:    mix(idle.node, loaded.node),
	}
}
