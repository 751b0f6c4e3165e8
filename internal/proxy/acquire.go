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

// acquire returns a backend server with room taken for the call. It waits in the queue while all are busy.
func (p *Proxy) acquire(ctx context.Context, c *call, version *routing.Version, tried map[string]bool) (*routing.Server, *refusal) {
	queue := p.queues.get(c.service.Config.Name, version.Name)
	if queue.Empty() {
		if server := p.tryAcquire(c, version, tried); server != nil {
			return server, nil
		}
	}
	if !p.worthWaiting(version, tried) {
		return nil, notRun(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" has no backend server that can take the call")
	}
	ticket, err := queue.Enqueue(c.caller, c.service.Settings.QueueLength, c.service.Settings.CallerShare)
	if err != nil {
		return nil, queueRefusal(c, err)
	}
	defer queue.Remove(ticket)
	return p.wait(ctx, c, version, tried, ticket)
}

// wait takes room when it is the ticket's turn, or drops the call when it cannot be answered in time any more.
func (p *Proxy) wait(ctx context.Context, c *call, version *routing.Version, tried map[string]bool, ticket *limit.Waiter) (*routing.Server, *refusal) {
	now := p.now()
	drop := time.NewTimer(c.deadline.Sub(now) - c.state.floor.Value(now))
	defer drop.Stop()
	for {
		// The queue may have been empty before the ticket joined, so there may be room without a turn.
		if ticket.IsFirst() {
			if server := p.tryAcquire(c, version, tried); server != nil {
				return server, nil
			}
		}
		select {
		case <-ticket.Wakeup():
		case <-drop.C:
			return nil, notRun(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" is overloaded; the deadline cannot be met")
		case <-ctx.Done():
			return nil, notRun(http.StatusServiceUnavailable, "the call ended while it waited")
		}
	}
}

// tryAcquire takes room at the best backend server that has some, nil when none has.
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

// worthWaiting reports whether any backend server could take the call if it had room.
func (p *Proxy) worthWaiting(version *routing.Version, tried map[string]bool) bool {
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
		return notRun(http.StatusTooManyRequests, "caller "+c.caller+" holds its share of the queue of service "+c.service.Config.Name)
	}
	return notRun(http.StatusServiceUnavailable, "service "+c.service.Config.Name+" is overloaded")
}
