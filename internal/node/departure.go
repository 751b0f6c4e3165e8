package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// storeTimeout bounds the wait until another process knows what a node is about to acknowledge. A platform that gets no
// acknowledgement within a second repeats its request.
const storeTimeout = 800 * time.Millisecond

// ErrNotStored is wrapped by the error for a change of a backend server's state that no other process has confirmed in time.
// The node acts on the change, but must not acknowledge it: it would forget it in a restart.
var ErrNotStored = errors.New("no other process has stored that the backend server drains")

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

// Withdraw marks the backend server beside this node as draining, because it announced that it stops. Later heartbeats of starts until
// now are ignored. It returns once another process has stored that, so that a restart of this node does not undo
// it; otherwise the error wraps ErrNotStored, or member.ErrInvalidServer for an impossible name. An instance that is not the
// one of the last heartbeat may have been replaced already, or may be the next one, whose heartbeats are late.
func (n *Node) Withdraw(ctx context.Context, instance string) error {
	if err := member.CheckName(instance); err != nil {
		return err
	}
	n.mu.Lock()
	now := time.Now()
	n.withdrawn = n.withdrawn.with(departure{instance, now})
	if n.lastHeartbeat.instance == instance {
		n.lastHeartbeat.leaving, n.lastHeartbeat.withdrawn = true, true
	}
	if n.announced != nil && n.announced.server.Instance == instance {
		n.announced.server = member.LeavingRecord(n.announced.server)
		// Without a lease the next renewal would not carry the record.
		n.announced.expires = now.Add(member.LeaseTime)
	}
	n.mu.Unlock()
	n.options.Logger.Info().Str("backend_server", instance).Msg("backend server withdrawn")
	return n.readvertiseAndStore(ctx)
}

// readvertiseAndStore updates the advertised record and waits until the home of the leases has stored it.
func (n *Node) readvertiseAndStore(ctx context.Context) error {
	n.readvertise()
	return n.awaitStored(ctx)
}

// awaitStored waits until the home of the leases has stored the records of the current revision. The error wraps ErrNotStored.
func (n *Node) awaitStored(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.mu.Lock()
	revision := n.revision
	n.mu.Unlock()
	for {
		n.mu.Lock()
		stored, changed := n.storedRevision, n.storedChanged
		n.mu.Unlock()
		if stored >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			n.options.Logger.Warn().Uint64("revision", revision).Uint64("stored_revision", stored).Msg("drain not acknowledged, no other process has stored it")
			return errors.Wrap(ErrNotStored, ctx.Err().Error())
		}
	}
}

// recordStored records that the home of the leases has stored the records of a revision.
func (n *Node) recordStored(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storedRevision = max(n.storedRevision, revision)
	close(n.storedChanged)
	n.storedChanged = make(chan struct{})
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
		if known.Leaving && !n.lastHeartbeat.leaving {
			n.lastHeartbeat.leaving = true
			n.announced.server = member.LeavingRecord(n.announced.server)
			learned = true
		}
		if known.DrainOrder > n.drain.number {
			n.drain = drainOrder{known.DrainOrder, known.DrainOrdered}
			learned = true
		}
		n.options.Logger.Info().Str("backend_server", known.Instance).Uint64("incarnation", known.Incarnation).Bool("leaving", known.Leaving).
			Uint64("drain_order", known.DrainOrder).Bool("drain_ordered", known.DrainOrdered).Msg("learned what was acknowledged before the restart")
	}
	return learned
}
