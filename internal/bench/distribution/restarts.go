package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// restarts restarts nodes at random, a fixed share of them each minute.
type restarts struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// startRestarts restarts nodes of the cluster until stop.
func (c *cluster) startRestarts(ctx context.Context, seed int64) *restarts {
	loop, cancel := context.WithCancel(ctx)
	r := &restarts{cancel: cancel}
	random := rand.New(rand.NewPCG(uint64(seed), uint64(len(c.fleet.nodes))))
	interval := time.Duration(float64(time.Minute) / (restartShare * float64(max(1, len(c.fleet.nodes)))))
	r.running.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-loop.Done():
				return
			case <-ticker.C:
				h := c.fleet.nodes[random.IntN(len(c.fleet.nodes))]
				h.end()
				if h.start(ctx) != nil {
					return
				}
			}
		}
	})
	return r
}

func (r *restarts) stop() {
	r.cancel()
	r.running.Wait()
}
