package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// restartLoop restarts randomly chosen nodes at a steady rate, restartShare of them each minute.
type restartLoop struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// startRestartLoop starts a loop that restarts nodes of the cluster until stop is called.
func (c *cluster) startRestartLoop(ctx context.Context, seed int64) *restartLoop {
	loop, cancel := context.WithCancel(ctx)
	r := &restartLoop{cancel: cancel}
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
				h.stop()
				if h.start(ctx) != nil {
					return
				}
			}
		}
	})
	return r
}

func (r *restartLoop) stop() {
	r.cancel()
	r.running.Wait()
}
