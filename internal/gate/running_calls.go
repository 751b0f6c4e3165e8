package gate

import (
	"time"

	"samphireflow/internal/calls"
)

// displaceInterval is the shortest time between two searches among the calls that hold slots.
const displaceInterval = 100 * time.Millisecond

// runningCalls holds the calls that have a slot.
type runningCalls struct {
	calls      map[*calls.Call]struct{}
	searchedAt time.Time
}

func (r *runningCalls) add(c *calls.Call) {
	if r.calls == nil {
		r.calls = map[*calls.Call]struct{}{}
	}
	r.calls[c] = struct{}{}
}

func (r *runningCalls) remove(c *calls.Call) { delete(r.calls, c) }

// search returns the calls that have a slot while another call finds none. It returns none if it did so a moment ago.
func (r *runningCalls) search(now time.Time) []*calls.Call {
	if now.Sub(r.searchedAt) < displaceInterval {
		return nil
	}
	r.searchedAt = now
	list := make([]*calls.Call, 0, len(r.calls))
	for c := range r.calls {
		list = append(list, c)
	}
	return list
}

// displaceStalled takes the slots of calls whose callers have stopped sending their bodies or reading their responses. Each of
// them keeps its slot in calm for as long as its connection stays open.
func (g *Gate) displaceStalled() {
	g.mu.Lock()
	running := g.running.search(g.options.Now())
	g.mu.Unlock()
	for _, c := range running {
		c.Memory.DisplaceStalled()
	}
}
