package moves

import (
	"context"

	"golang.org/x/sync/errgroup"

	"samphireflow/internal/move"
)

// parallelMoves is the count of moves that are simulated at the same time.
const parallelMoves = 4

// runMany simulates moves of one kind with consecutive seeds.
func runMany(ctx context.Context, w workload, m mode, seed uint64, count int, steer func() steering) ([]result, error) {
	results := make([]result, count)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelMoves)
	for i := range count {
		group.Go(func() error {
			if ctx.Err() == nil {
				results[i] = newWorld(w, m, seed+uint64(i), steer()).run()
			}
			return ctx.Err()
		})
	}
	return results, group.Wait()
}

func newJudged() steering { return &judged{driver: move.NewDriver(), local: true} }

func newClocked() steering { return clocked{} }
