package distribution

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphireflow/internal/bench"
)

const (
	// convergenceTarget bounds the time from an edit until it is in force on every node, in seconds.
	convergenceTarget = 11
	// editCount is the number of edits at each cluster size.
	editCount = 25
	// editPause is the time between two edits.
	editPause = 300 * time.Millisecond
	// restartShare is the share of nodes that restart each minute.
	restartShare = 0.02
)

// measureConvergence measures the time from sending an edit until it is in force on each node and on the last node,
// while nodes restart.
func (c *cluster) measureConvergence(ctx context.Context, seed int64) ([]bench.Result, error) {
	restarts := c.startRestartLoop(ctx, seed)
	defer restarts.stop()
	perNode := hdrhistogram.New(1, convergeTimeout.Microseconds(), 3)
	lastNode := hdrhistogram.New(1, convergeTimeout.Microseconds(), 3)
	for range editCount {
		time.Sleep(editPause)
		started := time.Now()
		version, err := c.edit(ctx)
		if err != nil {
			return nil, err
		}
		if err := c.recordConvergence(ctx, version, started, perNode); err != nil {
			return nil, err
		}
		if err := lastNode.RecordValue(time.Since(started).Microseconds()); err != nil {
			return nil, err
		}
	}
	name := fmt.Sprintf("convergence of an edit at %d nodes", c.size())
	return []bench.Result{
		bench.Figure(name+", median node", seconds(perNode.ValueAtQuantile(50)), "s"),
		bench.Figure(name+", 99 in 100 nodes", seconds(perNode.ValueAtQuantile(99)), "s"),
		bench.Figure(name+", last node, median edit", seconds(lastNode.ValueAtQuantile(50)), "s"),
		bench.AtMost(name+", last node, slowest edit", seconds(lastNode.Max()), "s", convergenceTarget),
	}, nil
}

// size is the number of nodes, including those that run as processes of their own.
func (c *cluster) size() int {
	return len(c.fleet.nodes) + relayHosts*len(domains)
}

// recordConvergence records how long after started each node acts on the version, and returns once all do.
func (c *cluster) recordConvergence(ctx context.Context, version uint64, started time.Time, perNode *hdrhistogram.Histogram) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	recorded := 0
	for recorded < len(c.fleet.nodes) {
		reached := len(c.fleet.nodes) - c.fleet.countBehind(version)
		for ; recorded < reached; recorded++ {
			if err := perNode.RecordValue(time.Since(started).Microseconds()); err != nil {
				return err
			}
		}
		if recorded < len(c.fleet.nodes) {
			if err := sleep(pollInterval)(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

func seconds(microseconds int64) float64 {
	return float64(microseconds) / 1e6
}
