package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/balance"
	"samphireflow/internal/limit"
	"samphireflow/internal/routing"
)

// acquire returns a backend server on which capacity is reserved for the call. It waits in the queue while all are busy.
func (p *Proxy) acquire(ctx context.Context, c *call, version *routing.Version, tried map[string]bool) (*routing.Server, *refusal) {
	queue := p.queues.get(c.service.Config.Name, version.Name)
	if queue.Empty() {
		if server := p.tryAcquire(c, version, tried); server != nil {
			return server, nil
		}
	}
	if !p.hasUsableServer(version, tried) {
		return nil, notRunRefusal(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" has no backend server that can take the call")
	}
	waiter, err := queue.Enqueue(c.caller, c.service.Settings.QueueLength, c.service.Settings.CallerShare)
	if err != nil {
		return nil, queueRefusal(c, err)
	}
	defer queue.Remove(waiter)
	return p.wait(ctx, c, version, tried, waiter)
}

// wait reserves capacity once the waiter is the first of the queue. It refuses the call when the time left until the
// deadline is shorter than the route's minimum latency.
func (p *Proxy) wait(ctx context.Context, c *call, version *routing.Version, tried map[string]bool, waiter *limit.Waiter) (*routing.Server, *refusal) {
	now := p.now()
	drop := time.NewTimer(c.deadline.Sub(now) - c.state.minLatency.Value(now))
	defer drop.Stop()
	for {
		// Capacity may already be free when the waiter joins an empty queue, so the first waiter tries before it is woken.
		if waiter.IsFirst() {
			if server := p.tryAcquire(c, version, tried); server != nil {
				return server, nil
			}
		}
		select {
		case <-waiter.Wakeup():
		case <-drop.C:
			return nil, notRunRefusal(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" is overloaded; the deadline cannot be met")
		case <-ctx.Done():
			return nil, notRunRefusal(http.StatusServiceUnavailable, "the call ended while it waited")
		}
	}
}

// tryAcquire reserves capacity on the best backend server that has some, and returns nil if none has.
func (p *Proxy) tryAcquire(c *call, version *routing.Version, tried map[string]bool) *routing.Server {
	picker := balance.Picker{Policy: &c.service.Settings.Balance, Random: rand.IntN, Now: p.now(), Tried: tried}
	for range version.Size() {
		server := picker.Pick(version.Local, version.Remote)
		if server == nil {
			return nil
		}
		if server.Load.Begin() {
			return server
		}
	}
	return nil
}

// hasUsableServer reports whether any backend server could serve the call as soon as it has capacity: it is not draining or
// ejected and has not been tried.
func (p *Proxy) hasUsableServer(version *routing.Version, tried map[string]bool) bool {
	now := p.now()
	for _, servers := range [2][]*routing.Server{version.Local, version.Remote} {
		for _, server := range servers {
			if !server.Load.Draining(now) && !server.Load.Ejected(now) && !tried[server.Info.Instance] {
				return true
			}
		}
	}
	return false
}

func queueRefusal(c *call, err error) *refusal {
	if errors.Is(err, limit.ErrCallerShare) {
		return notRunRefusal(http.StatusTooManyRequests, "caller "+c.caller+" holds its share of the queue of service "+c.service.Config.Name)
	}
	return notRunRefusal(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" is overloaded")
}
