package distribution

import (
	"context"
	"sync"
	"time"

	"samphireflow/internal/bench"
	"samphireflow/internal/deployment"
)

// sampleTime is the time over which a peak is taken.
const sampleTime = 250 * time.Millisecond

// storms measures how everything returns after a role has died at once.
func (c *cluster) storms(ctx context.Context, _ int64, _ cost) ([]bench.Result, error) {
	var results []bench.Result
	for _, storm := range []struct {
		name  string
		cause func(ctx context.Context) error
	}{
		{"all nodes restart at once", c.restartNodes},
		{"all relays killed and started again", func(ctx context.Context) error { return c.killAndStart(deployment.RoleNode) }},
		{"all control instances killed and started again", func(ctx context.Context) error { return c.killAndStart(deployment.RoleControl) }},
	} {
		more, err := c.storm(ctx, storm.name, storm.cause)
		results = append(results, more...)
		if err != nil {
			return results, err
		}
	}
	return results, nil
}

// storm causes a storm and measures the time until an edit is in force on all nodes, and the peak work on the way.
func (c *cluster) storm(ctx context.Context, name string, cause func(ctx context.Context) error) ([]bench.Result, error) {
	if err := cause(ctx); err != nil {
		return nil, err
	}
	peaks := c.startPeaks(ctx)
	started := time.Now()
	version, err := c.editUntilAccepted(ctx)
	if err == nil {
		err = c.await(ctx, version)
	}
	took := time.Since(started)
	peak := peaks.stop()
	return []bench.Result{
		bench.Figure(name+": time until an edit is in force", took.Seconds(), "s"),
		bench.Figure(name+": peak processor of a control instance", 100*peak.control.cores, "% of a core"),
		bench.Figure(name+": peak bytes of a control instance", peak.control.bytes(), "B/s"),
		bench.Figure(name+": peak processor of a relay", 100*peak.relay.cores, "% of a core"),
		bench.Figure(name+": peak bytes of a relay", peak.relay.bytes(), "B/s"),
	}, err
}

func (c *cluster) editUntilAccepted(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	for {
		version, err := c.edit(ctx)
		if err == nil {
			return version, nil
		}
		if waited := rest(pollInterval * 50)(ctx); waited != nil {
			return 0, err
		}
	}
}

func (c *cluster) restartNodes(ctx context.Context) error {
	c.fleet.stopAll()
	for _, h := range c.fleet.nodes {
		if err := h.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) killAndStart(role deployment.Role) error {
	for _, process := range c.byRole(role) {
		if err := c.deployment.Kill(process); err != nil {
			return err
		}
	}
	for _, process := range c.byRole(role) {
		if _, err := c.deployment.Restart(process); err != nil {
			return err
		}
	}
	return nil
}

// peaks samples what a process of each role uses at most.
type peaks struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	most    cost
}

func (c *cluster) startPeaks(ctx context.Context) *peaks {
	ctx, cancel := context.WithCancel(ctx)
	p := &peaks{cancel: cancel}
	p.running.Go(func() {
		for ctx.Err() == nil {
			sample, err := c.measure(ctx, atMost(sampleTime))
			if err != nil {
				return
			}
			p.most.control = larger(p.most.control, sample.control)
			p.most.relay = larger(p.most.relay, sample.relay)
		}
	})
	return p
}

// atMost rests for a time, less when the context ends.
func atMost(d time.Duration) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		_ = rest(d)(ctx)
		return nil
	}
}

func (p *peaks) stop() cost {
	p.cancel()
	p.running.Wait()
	return p.most
}

func larger(a, b rate) rate {
	return rate{cores: max(a.cores, b.cores), sent: max(a.sent, b.sent), received: max(a.received, b.received)}
}
