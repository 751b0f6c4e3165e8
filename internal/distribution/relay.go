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
	// syncInterval is the time between two words to another relay or a control instance when nothing changes, and
	// syncGap the least time between two of them.
	syncInterval = 2 * time.Second
	syncGap      = 100 * time.Millisecond
	// takeInterval is the time between two takings of the members of the whole deployment.
	takeInterval = time.Second
	// pullWait is the longest time that a relay's watch is held open.
	pullWait = 2 * time.Second
	// retryPause is the mean pause after a failed request.
	retryPause = 300 * time.Millisecond
	// upReportInterval is the time between reports of outcomes to a control instance.
	upReportInterval = time.Second
	// MembersGrace is the time after its start for which a process that has no table yet does not hand one down.
	MembersGrace = member.LeaseTime + time.Second
	// controlSilence is the time after which a relay that no control instance answers asks the other relays.
	controlSilence = 4 * time.Second
)

// Relay passes versions down and leases and outcomes up for a share of the nodes of one failure domain. Every node
// has one; it works while the node is one of the assigned relays. It serves the twirp services Distribution,
// Membership and Relay.
type Relay struct {
	*WatchServer
	options  RelayOptions
	state    *relayState
	hub      *member.Hub
	filter   *ReportFilter
	reaper   *Reaper
	controls []*syncTarget
	up       []*Reporter
	// primary is the control instance that versions and members are taken from.
	primary *primary
	// peers holds the other relays by control address; it belongs to the goroutine of Run.
	peers map[string]*syncTarget
}

// NewRelay returns a relay that has not started.
func NewRelay(options RelayOptions) *Relay {
	state := newRelayState(options, time.Now())
	hub := member.NewHub(options.Instance, options.Incarnation)
	r := &Relay{
		WatchServer: NewWatchServer(state, hub),
		options:     options,
		state:       state,
		hub:         hub,
		filter:      NewReportFilter(),
		primary:     newPrimary(len(options.Control)),
		peers:       map[string]*syncTarget{},
	}
	r.reaper = NewReaper(hub, options.Client, r.helpers)
	head := &apiv1.ReportRequest{Instance: options.Instance, FailureDomain: options.FailureDomain, ProcessId: options.Incarnation}
	for _, addr := range options.Control {
		r.controls = append(r.controls, &syncTarget{client: Dial(addr, options.Client)})
		r.up = append(r.up, NewReporter(outcome.NewAggregator(options.FailureDomain), head))
	}
	return r
}

// helpers are the other relays.
func (r *Relay) helpers() []*Client {
	var others []string
	for _, node := range r.state.currentRelays().GetNodes() {
		if node.Instance != r.options.Instance {
			others = append(others, node.ControlAddr)
		}
	}
	return DialAll(others, r.options.Client)
}

// Run waits until this node is one of the relays, works while it is, and so on until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	defer r.Stop()
	for ctx.Err() == nil {
		told := r.state.toldChannel()
		if r.state.isRelay() {
			if err := r.work(ctx, r.state.currentRelays()); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-told:
		}
	}
	return nil
}

// work does the work of a relay until the set of relays changes.
func (r *Relay) work(ctx context.Context, relays *apiv1.Assignment) error {
	r.options.Logger.Info().Uint64("epoch", relays.Epoch).Msg("works as a relay")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		return r.awaitOtherSet(ctx, relays)
	})
	group.Go(func() error { return r.pullLoop(ctx) })
	group.Go(func() error { return r.floorLoop(ctx) })
	group.Go(func() error { return r.reaper.Run(ctx) })
	group.Go(func() error { return FlushLoop(ctx, r.hub) })
	for _, peer := range r.peersOf(relays) {
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

// awaitOtherSet returns when a newer set of relays is known.
func (r *Relay) awaitOtherSet(ctx context.Context, relays *apiv1.Assignment) error {
	for {
		told := r.state.toldChannel()
		if r.state.currentRelays().GetEpoch() != relays.Epoch {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-told:
		}
	}
}

// peersOf returns the other relays of a set and of the set before, with what they were sent already.
func (r *Relay) peersOf(relays *apiv1.Assignment) []*syncTarget {
	known := r.peers
	r.peers = map[string]*syncTarget{}
	for _, node := range append(append([]*apiv1.AssignedNode(nil), relays.Nodes...), relays.Previous...) {
		if node.Instance == r.options.Instance || r.peers[node.ControlAddr] != nil {
			continue
		}
		peer := known[node.ControlAddr]
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

// Status tells what the relay does and holds.
func (r *Relay) Status() RelayStatus {
	synced, held := r.state.synced()
	_, released := r.state.known()
	return RelayStatus{Working: r.state.isRelay(), Synced: synced, Held: held, Released: released, Age: r.state.Age()}
}

// Relays returns the newest set of relays of the failure domain that is known, nil when there is none.
func (r *Relay) Relays() *apiv1.Assignment {
	return r.state.currentRelays()
}

// LearnRelays notes a set of relays that the node has heard of.
func (r *Relay) LearnRelays(relays *apiv1.Assignment) {
	r.state.learnRelays(relays)
}

// Refused returns the newest version that the relay could not take, and why; 0 when there is none.
func (r *Relay) Refused() (uint64, string) {
	return r.state.refused()
}

// FlushLoop shows the changes of a hub in batches until the context ends.
func FlushLoop(ctx context.Context, hub *member.Hub) error {
	return periodic.Run(ctx, flushInterval, func(_ time.Time) {
		hub.Flush()
	})
}

// reportLoop passes outcomes up to one control instance.
func (r *Relay) reportLoop(ctx context.Context, index int) error {
	return periodic.Run(ctx, upReportInterval, func(_ time.Time) {
		to := r.controls[index].client
		if err := r.up[index].Send(ctx, to.Distribution); err != nil {
			r.options.Logger.Debug().Err(err).Str("control", to.Addr).Msg("report not passed up")
		}
	})
}

// pause waits for about the given time, less when the context ends.
func pause(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
