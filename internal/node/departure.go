package node

import (
	"context"
	"slices"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/member"
)

// ErrNotStored is wrapped by the error for a change that is not acknowledged; see distribution.ErrNotStored.
var ErrNotStored = distribution.ErrNotStored

const (
	// departureRetention is the time for which a node passes over late heartbeats of a backend server that has left. Heartbeats
	// arrive late by seconds.
	departureRetention = time.Minute
	// maxDepartures bounds the departures that a node knows. A machine has one backend server at a time.
	maxDepartures = 8
)

// departure is the end of a backend server beside this node, announced by its name alone.
type departure struct {
	instance string
	at       time.Time
}

// covers reports whether the departure is that of the given start of a backend server.
func (d departure) covers(server *apiv1.BackendServer) bool {
	return !d.isPast(time.Now()) && d.instance == server.Instance && server.StartedUnixMs <= d.at.UnixMilli()
}

// isPast reports whether the retention of the departure has passed.
func (d departure) isPast(now time.Time) bool {
	return now.Sub(d.at) >= departureRetention
}

// departures are the latest of them, oldest first.
type departures []departure

// with returns the departures with one more, without those past their retention.
func (d departures) with(next departure) departures {
	kept := slices.DeleteFunc(slices.Clone(d), func(known departure) bool {
		return known.instance == next.instance || known.isPast(next.at)
	})
	kept = append(kept, next)
	return kept[max(len(kept)-maxDepartures, 0):]
}

// cover reports whether the given start of a backend server has departed.
func (d departures) cover(server *apiv1.BackendServer) bool {
	return slices.ContainsFunc(d, func(known departure) bool { return known.covers(server) })
}

// recent lists the departures that are not past their retention.
func (d departures) recent(now time.Time) []departure {
	return slices.DeleteFunc(slices.Clone(d), func(known departure) bool { return known.isPast(now) })
}

// Withdraw marks the backend server beside this node as draining, because it announced that it stops. Later heartbeats of starts
// until now are ignored. It returns once the withdrawal is acknowledged; otherwise the error wraps ErrNotStored, or
// member.ErrInvalidServer for an impossible name. The instance need not be the one of the last heartbeat: that may have been
// replaced already, or be the next one, whose heartbeats are late.
func (n *Node) Withdraw(ctx context.Context, instance string) error {
	if err := member.CheckName(instance); err != nil {
		return err
	}
	n.options.Logger.Info().Str("backend_server", instance).Msg("backend server withdrawn")
	records := n.withdraw(instance, time.Now())
	n.readvertise()
	return n.acknowledge(ctx, records...)
}

// withdraw records a withdrawal and returns what is to be stored of it.
func (n *Node) withdraw(instance string, now time.Time) []*apiv1.BackendServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.withdrawn = n.withdrawn.with(departure{instance, now})
	records := []*apiv1.BackendServer{member.NewWithdrawal(instance, n.options.Instance, now)}
	if n.lastHeartbeat.instance == instance {
		n.lastHeartbeat.leaving, n.lastHeartbeat.withdrawn = true, true
	}
	if n.announced != nil && n.announced.server.Instance == instance {
		n.announced.server = member.LeavingRecord(n.announced.server)
		// Without a lease the next renewal would not carry the record.
		n.announced.expires = now.Add(member.LeaseTime)
		records = append(records, n.announced.server)
	}
	return records
}

// acknowledge returns once the records are stored so that they outlast every loss that the settings tolerate, and so that a restart
// of this node does not undo them. Without it nothing is acknowledged to a backend server that leaves, or to an operator who drains it.
// Otherwise the error wraps ErrNotStored.
func (n *Node) acknowledge(ctx context.Context, records ...*apiv1.BackendServer) error {
	stored := make([]drainKey, len(records))
	for i, record := range records {
		stored[i] = drainKeyOf(record)
	}
	if n.hasStored(stored) {
		return nil
	}
	if err := n.drains.Store(ctx, records); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storedDrains = stored
	return nil
}

// drainKey identifies what is acknowledged of one start of a backend server.
type drainKey struct {
	instance    string
	incarnation uint64
	started     int64
	leaving     bool
	drainOrder  uint64
}

func drainKeyOf(record *apiv1.BackendServer) drainKey {
	return drainKey{record.Instance, record.Incarnation, record.StartedUnixMs, record.Leaving, record.DrainOrder}
}

// hasStored reports whether all of this was stored for the last acknowledgement. A draining backend server repeats itself with each
// heartbeat.
func (n *Node) hasStored(keys []drainKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !slices.ContainsFunc(keys, func(key drainKey) bool { return !slices.Contains(n.storedDrains, key) })
}

// learnOverruling takes over what the home of the leases knows of backend servers beside this node, from before a restart of
// the node. It reports whether that changed the record that this node announces.
func (n *Node) learnOverruling(records []*apiv1.BackendServer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	learned := false
	for _, known := range records {
		newer := n.lastHeartbeat.instance == "" || known.Incarnation > n.lastHeartbeat.incarnation
		if newer && known.Leaving && n.withdrawn.cover(known) {
			n.lastHeartbeat = heartbeat{instance: known.Instance, incarnation: known.Incarnation, leaving: true, withdrawn: true}
			continue
		}
		if !n.lastHeartbeat.isOf(known) || n.announced == nil {
			continue
		}
		news := false
		if known.Leaving && !n.lastHeartbeat.leaving {
			n.lastHeartbeat.leaving = true
			n.announced.server = member.LeavingRecord(n.announced.server)
			news = true
		}
		if known.DrainOrder > n.drain.number {
			n.drain = drainOrder{known.DrainOrder, known.DrainOrdered}
			news = true
		}
		if !news {
			continue
		}
		learned = true
		n.options.Logger.Info().Str("backend_server", known.Instance).Uint64("incarnation", known.Incarnation).Bool("leaving", known.Leaving).
			Uint64("drain_order", known.DrainOrder).Bool("drain_ordered", known.DrainOrdered).Msg("learned what was acknowledged before the restart")
	}
	return learned
}
