package node

import (
	"context"
	"sync/atomic"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move/local"
	"samphireflow/internal/outcome"
	"samphireflow/internal/routing"
)

// guardInterval is the time between looks at the node's own evidence on moves.
const guardInterval = 250 * time.Millisecond

// guarded limits the shares of moves by the node's own evidence. It never raises a share.
type guarded struct {
	guard   *local.Guard
	limited atomic.Pointer[limitedTable]
}

// limitedTable is a table with the shares of moves limited, and the table that it was made from.
type limitedTable struct {
	base  *routing.Table
	table *routing.Table
}

// limit returns the table to route by. Only a table that was not seen before costs anything.
func (g *guarded) limit(base *routing.Table) *routing.Table {
	if base == nil {
		return nil
	}
	if kept := g.limited.Load(); kept != nil && kept.base == base {
		return kept.table
	}
	return g.refresh(base)
}

func (g *guarded) refresh(base *routing.Table) *routing.Table {
	now := time.Now()
	table := base.Limit(func(service *apiv1.ServiceConfig, share uint32) uint32 {
		return g.guard.Limit(now, service, share)
	})
	g.limited.Store(&limitedTable{base: base, table: table})
	return table
}

// guardLoop looks at the evidence until the context ends.
func (n *Node) guardLoop(ctx context.Context) error {
	ticker := time.NewTicker(guardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if base := n.table.Load(); base != nil {
				n.guarded.refresh(base)
			}
		}
	}
}

// Recorder counts outcomes for the control group and for the node's own evidence on moves.
type Recorder struct {
	*outcome.Sum
	guard *local.Guard
	table *atomic.Pointer[routing.Table]
}

// Record counts one call.
func (r *Recorder) Record(service, version, route string, ok, broken bool, duration time.Duration) {
	r.Sum.Record(service, version, route, ok, broken, duration)
	table := r.table.Load()
	if table == nil {
		return
	}
	if known := table.Service(service); known != nil {
		r.guard.Record(time.Now(), known.Config, version, !ok)
	}
}
