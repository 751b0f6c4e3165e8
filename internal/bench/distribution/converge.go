package distribution

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphireflow/internal/bench"
)

const (
	// convergenceTarget is the bound on the time from an edit to its being in force on every node, in seconds.
	convergenceTarget = 11
	// editCount is the number of edits at each size.
	editCount = 25
	// editPause is the time between two edits.
	editPause = 300 * time.Millisecond
	// restartShare is the share of nodes that restart in a minute.
	restartShare = 0.02
)

// converge measures the time from the sending of an edit to its being in force, on each node and on the last one,
// while nodes restart.
func (c *cluster) converge(ctx context.Context, seed int64) ([]bench.Result, error) {
	restarts := c.startRestarts(ctx, seed)
	defer restarts.stop()
	each := hdrhistogram.New(1, convergeTimeout.Microseconds(), 3)
	last := hdrhistogram.New(1, convergeTimeout.Microseconds(), 3)
	for range editCount {
		time.Sleep(editPause)
		started := time.Now()
		version, err := c.edit(ctx)
		if err != nil {
			return nil, err
		}
		if err := c.observe(ctx, version, started, each); err != nil {
			return nil, err
		}
		if err := last.RecordValue(time.Since(started).Microseconds()); err != nil {
			return nil, err
		}
	}
	name := fmt.Sprintf("convergence of an edit at %d nodes", c.size())
	return []bench.Result{
		bench.Figure(name+", median node", seconds(each.ValueAtQuantile(50)), "s"),
		bench.Figure(name+", 99 in 100 nodes", seconds(each.ValueAtQuantile(99)), "s"),
		bench.Figure(name+", last node, median edit", seconds(last.ValueAtQuantile(50)), "s"),
		bench.AtMost(name+", last node, slowest edit", seconds(last.Max()), "s", convergenceTarget),
	}, nil
}

// size is the number of nodes, those that run as processes included.
func (c *cluster) size() int {
	return len(c.fleet.nodes) + relayHosts*len(domains)
}

// observe records when each node first acts on a version, until all do.
func (c *cluster) observe(ctx context.Context, version uint64, started time.Time, each *hdrhistogram.Histogram) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	seen := 0
	for seen < len(c.fleet.nodes) {
		reached := len(c.fleet.nodes) - c.fleet.behind(version)
		for ; seen < reached; seen++ {
			if err := each.RecordValue(time.Since(started).Microseconds()); err != nil {
				return err
			}
		}
		if seen < len(c.fleet.nodes) {
			if err := rest(pollInterval)(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

func seconds(microseconds int64) float64 {
	return float64(microseconds) / 1e6
}
