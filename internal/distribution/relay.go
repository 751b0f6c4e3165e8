package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
	"samphireflow/internal/outcome"
	"samphireflow/internal/periodic"
)

const (
	// flushInterval is the time between batches of membership changes.
	flushInterval = 250 * time.Millisecond
	// syncInterval is the mean time between syncs with another relay or a control instance while nothing changes. After a
	// change of members, a sync waits for syncBatchDelay, so that several changes are sent together.
	syncInterval   = 2 * time.Second
	syncBatchDelay = 100 * time.Millisecond
	// memberSyncInterval is the mean time between fetches of the members of the whole deployment.
	memberSyncInterval = time.Second
	// pullWait is the longest time that a relay's watch is held open.
	pullWait = 2 * time.Second
	// retryDelay is the mean delay after a failed request.
	retryDelay = 300 * time.Millisecond
	// reportInterval is the time between reports of call outcomes to a control instance.
	reportInterval = time.Second
	// MembersGrace is the time after its start in which a process without a complete table of members does not serve its
	// table as complete. After it, every live node has renewed its lease.
	MembersGrace = member.LeaseTime + time.Second
	// controlContactTimeout is the time without contact with the control group after which a relay fetches members from the
	// other relays.
	controlContactTimeout = 4 * time.Second
)

// Relay forwards configuration versions to a share of the nodes of one failure domain, and their leases and call outcomes
// to the control group. Every node has a Relay; it is active while the node is one of the assigned relays. It serves the
// twirp services Distribution, Membership and Relay.
type Relay struct {
	*WatchServer
	options            RelayOptions
	state              *relayState
	hub                *member.Hub
	reportDeduplicator *ReportDeduplicator
	failureDetector    *FailureDetector
	controls           []*syncTarget
	reporters          []*Reporter
	// primary selects the control instance from which versions and members are fetched.
	primary *primary
	// peers holds the other relays by control address. Only the goroutine of Run uses it.
	peers map[string]*syncTarget
}

// NewRelay returns a relay that has not started.
func NewRelay(options RelayOptions) *Relay {
	state := newRelayState(options, time.Now())
	hub := member.NewHub(options.Instance, options.Incarnation)
	r := &Relay{
		WatchServer:        NewWatchServer(state, hub),
		options:            options,
		state:              state,
		hub:                hub,
		reportDeduplicator: NewReportDeduplicator(),
		primary:            newPrimary(len(options.Control)),
		peers:              map[string]*syncTarget{},
	}
	r.failureDetector = NewFailureDetector(hub, options.Client, r.otherRelays)
	template := &apiv1.ReportRequest{Instance: options.Instance, FailureDomain: options.FailureDomain, ProcessId: options.Incarnation}
	for _, addr := range options.Control {
		r.controls = append(r.controls, &syncTarget{client: Dial(addr, options.Client)})
		r.reporters = append(r.reporters, NewReporter(outcome.NewAggregator(options.FailureDomain), template))
	}
	return r
}

// otherRelays returns clients for the other relays of the failure domain.
func (r *Relay) otherRelays() []*Client {
	var others []string
	for _, node := range r.state.currentRelays().GetNodes() {
		if node.Instance != r.options.Instance {
			others = append(others, node.ControlAddr)
		}
	}
	return DialAll(others, r.options.Client)
}

// Run does the work of a relay whenever this node is one of the relays, until the context is done.
func (r *Relay) Run(ctx context.Context) error {
	defer r.Stop()
	for ctx.Err() == nil {
		stateChanged := r.state.stateChangedChannel()
		if r.state.isRelay() {
			if err := r.runAsRelay(ctx, r.state.currentRelays()); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-stateChanged:
		}
	}
	return nil
}

// runAsRelay does the work of a relay until the set of relays changes.
func (r *Relay) runAsRelay(ctx context.Context, relays *apiv1.Assignment) error {
	r.options.Logger.Info().Uint64("epoch", relays.Epoch).Msg("works as a relay")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		return r.awaitRelayChange(ctx, relays)
	})
	group.Go(func() error { return r.pullLoop(ctx) })
	group.Go(func() error { return r.floorLoop(ctx) })
	group.Go(func() error { return r.failureDetector.Run(ctx) })
	group.Go(func() error { return FlushLoop(ctx, r.hub) })
	for _, peer := range r.peerTargets(relays) {
		group.Go(func() error { return r.syncLoop(ctx, peer, r.syncPeer) })
	}
	for i, control := range r.controls {
		group.Go(func() error {
			return r.syncLoop(ctx, control, func(ctx context.Context, to *syncTarget) error { return r.syncControl(ctx, i, to) })
		})
		group.Go(func() error { return r.reportLoop(ctx, i) })
	}
	return group.Wait()
}

// awaitRelayChange returns when a newer set of relays is known.
func (r *Relay) awaitRelayChange(ctx context.Context, relays *apiv1.Assignment) error {
	for {
		stateChanged := r.state.stateChangedChannel()
		if r.state.currentRelays().GetEpoch() != relays.Epoch {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-stateChanged:
		}
	}
}

// peerTargets returns the sync targets for the other relays of a set and of the previous set. A relay that was a target
// before keeps its sync position.
func (r *Relay) peerTargets(relays *apiv1.Assignment) []*syncTarget {
	previous := r.peers
	r.peers = map[string]*syncTarget{}
	for _, node := range append(append([]*apiv1.AssignedNode(nil), relays.Nodes...), relays.Previous...) {
		if node.Instance == r.options.Instance || r.peers[node.ControlAddr] != nil {
			continue
		}
		peer := previous[node.ControlAddr]
		if peer == nil {
			peer = &syncTarget{client: Dial(node.ControlAddr, r.options.Client), relay: true}
		}
		r.peers[node.ControlAddr] = peer
	}
	list := make([]*syncTarget, 0, len(r.peers))
	for _, peer := range r.peers {
		list = append(list, peer)
	}
	return list
}

// Status returns the current state of the relay.
func (r *Relay) Status() RelayStatus {
	synced, held := r.state.syncStatus()
	_, released := r.state.newestVersions()
	return RelayStatus{Working: r.state.isRelay(), Synced: synced, Held: held, Released: released, Age: r.state.Age()}
}

// Relays returns the newest set of relays of the failure domain that is known, nil when there is none.
func (r *Relay) Relays() *apiv1.Assignment {
	return r.state.currentRelays()
}

// LearnRelays records a set of relays that the node has learned from another process, when it is newer.
func (r *Relay) LearnRelays(relays *apiv1.Assignment) {
	r.state.learnRelays(relays)
}

// Refused returns the version that the relay refused last, and the reason. It returns 0 when there is none.
func (r *Relay) Refused() (uint64, string) {
	return r.state.refused()
}

// FlushLoop makes the changes of a hub visible to its readers in batches, until the context is done.
func FlushLoop(ctx context.Context, hub *member.Hub) error {
	return periodic.Run(ctx, flushInterval, func(_ time.Time) {
		hub.Flush()
	})
}

// reportLoop reports call outcomes to one control instance.
func (r *Relay) reportLoop(ctx context.Context, index int) error {
	return periodic.Run(ctx, reportInterval, func(_ time.Time) {
		to := r.controls[index].client
		if err := r.reporters[index].Send(ctx, to.Distribution); err != nil {
			r.options.Logger.Debug().Err(err).Str("control", to.Addr).Msg("sending a report failed")
		}
	})
}

// sleepWithJitter waits between half and one and a half times the mean, or until the context is done.
func sleepWithJitter(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
