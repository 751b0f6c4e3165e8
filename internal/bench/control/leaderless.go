package control

import (
	"context"
	"path/filepath"
	"sort"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/bench"
)

const (
	leaderKills = 30
	// leaderlessTarget bounds the time from stopping the leader to the next accepted edit, in milliseconds.
	leaderlessTarget = 2000.0
)

// measureLeaderless stops the leader repeatedly and measures the time until the next edit is accepted.
func measureLeaderless(ctx context.Context, dir string) ([]bench.Result, error) {
	g, err := startGroup(ctx, filepath.Join(dir, "leaderless"), 3, snapshotsDisabled)
	defer g.close()
	if err != nil {
		return nil, err
	}
	o := newOperators("leaderless", 1)[0]
	if err := o.edit(ctx, g); err != nil {
		return nil, err
	}
	var times []float64
	for i := 0; i < leaderKills; i++ {
		elapsed, err := stopLeader(ctx, g, o)
		if err != nil {
			return nil, err
		}
		times = append(times, elapsed)
	}
	sort.Float64s(times)
	return []bench.Result{
		bench.Figure("control/leaderless/kills", leaderKills, "1"),
		bench.Figure("control/leaderless/p50", times[len(times)/2], "ms"),
		bench.AtMost("control/leaderless/max", times[len(times)-1], "ms", leaderlessTarget),
	}, nil
}

// stopLeader stops the leader, measures the time until the next accepted edit in milliseconds, and starts the stopped
// instance again.
func stopLeader(ctx context.Context, g *group, o *operator) (float64, error) {
	stopped := g.leader()
	if stopped == nil {
		return 0, errors.New("no leader to stop")
	}
	stoppedAt := time.Now()
	if err := stopped.stop(); err != nil {
		return 0, err
	}
	if err := o.edit(ctx, g); err != nil {
		return 0, err
	}
	elapsed := float64(time.Since(stoppedAt).Microseconds()) / 1000
	if err := g.restart(stopped); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	return elapsed, stopped.replica.ReadIndex(ctx)
}
