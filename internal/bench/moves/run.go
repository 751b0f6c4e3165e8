package moves

import (
	"context"

	"golang.org/x/sync/errgroup"

	"samphireflow/internal/move"
)

// parallelMoves is the number of moves that are simulated concurrently.
const parallelMoves = 4

// runMoves simulates moves of one scenario with consecutive seeds.
func runMoves(ctx context.Context, w workload, s scenario, seed uint64, count int, newStrategy func() strategy) ([]result, error) {
	results := make([]result, count)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelMoves)
	for i := range count {
		group.Go(func() error {
			if ctx.Err() == nil {
				results[i] = newSimulation(w, s, seed+uint64(i), newStrategy()).run()
			}
			return ctx.Err()
		})
	}
	return results, group.Wait()
}

func newJudgeStrategy() strategy { return &judgeStrategy{driver: move.NewDriver(), breakers: true} }

func newClockStrategy() strategy { return clockStrategy{} }
