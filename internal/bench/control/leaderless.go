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
	kills = 30
	// leaderlessTarget bounds the time from a kill of the leader to the next accepted edit.
	leaderlessTarget = 2000.0
)

// measureLeaderless kills the leader again and again, and takes the time to the next accepted edit.
func measureLeaderless(ctx context.Context, dir string) ([]bench.Result, error) {
	g, err := startGroup(ctx, filepath.Join(dir, "leaderless"), 3, noSnapshots)
	defer g.close()
	if err != nil {
		return nil, err
	}
	o := newOperators("leaderless", 1)[0]
	if err := o.edit(ctx, g); err != nil {
		return nil, err
	}
	var times []float64
	for i := 0; i < kills; i++ {
		took, err := killLeader(ctx, g, o)
		if err != nil {
			return nil, err
		}
		times = append(times, took)
	}
	sort.Float64s(times)
	return []bench.Result{
		bench.Figure("control/leaderless/kills", kills, "1"),
		bench.Figure("control/leaderless/p50", times[len(times)/2], "ms"),
		bench.AtMost("control/leaderless/max", times[len(times)-1], "ms", leaderlessTarget),
	}, nil
}

// killLeader returns the time without a leader in milliseconds, and starts the instance again.
func killLeader(ctx context.Context, g *group, o *operator) (float64, error) {
	victim := g.leader()
	if victim == nil {
		return 0, errors.New("there is no leader to kill")
	}
	killed := time.Now()
	if err := victim.stop(); err != nil {
		return 0, err
	}
	if err := o.edit(ctx, g); err != nil {
		return 0, err
	}
	took := float64(time.Since(killed).Microseconds()) / 1000
	if err := g.startAgain(victim); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return took, victim.replica.ReadIndex(ctx)
}
