package distribution

import (
	"context"
	"sync"
	"time"

	"samphireflow/internal/bench"
	"samphireflow/internal/deployment"
)

// sampleTime is the length of one sample of the peak usage.
const sampleTime = 250 * time.Millisecond

// measureRestartStorms measures how the cluster recovers after all processes of a role have restarted at once.
func (c *cluster) measureRestartStorms(ctx context.Context, _ int64, _ cost) ([]bench.Result, error) {
	var results []bench.Result
	for _, storm := range []struct {
		name    string
		trigger func(ctx context.Context) error
	}{
		{"all nodes restart at once", c.restartNodes},
		{"all relays killed and started again", func(ctx context.Context) error { return c.killAndRestart(deployment.RoleNode) }},
		{"all control instances killed and started again", func(ctx context.Context) error { return c.killAndRestart(deployment.RoleControl) }},
	} {
		more, err := c.measureRestartStorm(ctx, storm.name, storm.trigger)
		results = append(results, more...)
		if err != nil {
			return results, err
		}
	}
	return results, nil
}

// measureRestartStorm triggers a restart storm and measures the time until an edit is in force on all nodes, and the
// peak usage meanwhile.
func (c *cluster) measureRestartStorm(ctx context.Context, name string, trigger func(ctx context.Context) error) ([]bench.Result, error) {
	if err := trigger(ctx); err != nil {
		return nil, err
	}
	sampler := c.startPeakSampler(ctx)
	started := time.Now()
	version, err := c.editUntilAccepted(ctx)
	if err == nil {
		err = c.awaitVersion(ctx, version)
	}
	elapsed := time.Since(started)
	peak := sampler.stop()
	return []bench.Result{
		bench.Figure(name+": time until an edit is in force", elapsed.Seconds(), "s"),
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
		if canceled := sleep(pollInterval * 50)(ctx); canceled != nil {
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

func (c *cluster) killAndRestart(role deployment.Role) error {
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

// peakSampler records the peak usage per process of the control instances and the relays.
type peakSampler struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	peak    cost
}

func (c *cluster) startPeakSampler(ctx context.Context) *peakSampler {
	ctx, cancel := context.WithCancel(ctx)
	p := &peakSampler{cancel: cancel}
	p.running.Go(func() {
		for ctx.Err() == nil {
			sample, err := c.measureCost(ctx, sleepAtMost(sampleTime))
			if err != nil {
				return
			}
			p.peak.control = maxRate(p.peak.control, sample.control)
			p.peak.relay = maxRate(p.peak.relay, sample.relay)
		}
	})
	return p
}

// sleepAtMost returns a function that waits for the duration or until its context ends, and never fails. A last
// partial sample therefore still counts.
func sleepAtMost(d time.Duration) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		_ = sleep(d)(ctx)
		return nil
	}
}

func (p *peakSampler) stop() cost {
	p.cancel()
	p.running.Wait()
	return p.peak
}

func maxRate(a, b usageRate) usageRate {
	return usageRate{cores: max(a.cores, b.cores), sent: max(a.sent, b.sent), received: max(a.received, b.received)}
}
