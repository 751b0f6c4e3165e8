package node

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/routing"
)

// errInterrupted is the error of a watch that ended because another upstream was chosen or the floor became known.
var errInterrupted = errors.New("the watch was interrupted")

// watchLoop keeps one watch open and fails over to the next choice when it fails. It watches while the floor is not known
// yet, so that a snapshot is at hand when it is: after a restart of all processes the nodes decode it while the control
// instances elect a leader.
func (n *Node) watchLoop(ctx context.Context) error {
	floorFound := make(chan uint64, 1)
	floorKnown := make(chan struct{})
	go func(known chan<- struct{}) {
		if floor, err := n.awaitFloor(ctx); err == nil {
			floorFound <- floor
			close(known)
		}
	}(floorKnown)
	n.startNear(ctx)
	retry := newBackOff()
	for ctx.Err() == nil {
		select {
		case floor := <-floorFound:
			floorKnown = nil
			n.learnFloor(floor)
		default:
		}
		if n.applier.floor == nil {
			// The first version is not to wait for the backoff of failures while the upstreams started too.
			retry.Reset()
		}
		from, switched := n.selector.choice()
		err := n.watchOnce(ctx, from, switched, floorKnown)
		switch {
		case err == nil:
			retry.Reset()
		case errors.Is(err, errInterrupted):
		default:
			n.options.Logger.Debug().Err(err).Str("upstream", from.Addr).Msg("watch failed")
			n.handleWatchFailure(ctx, from, err, retry)
		}
	}
	return nil
}

// startNear turns to a control instance of the node's failure domain before the first watch, as soon as an answer about
// the floor names one, or gives up after nearWait. After a restart of all nodes each of them fetches the whole
// configuration and all members.
func (n *Node) startNear(ctx context.Context) {
	if !n.options.Direct {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, nearWait)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-n.selector.nearKnown:
		if target := n.selector.nearer(); target != nil {
			n.selector.switchTo(target)
		}
	}
}

// learnFloor makes the node serve by the held snapshot if it may. A relay that sent an older one is behind; a control
// instance is about to learn what was accepted.
func (n *Node) learnFloor(floor uint64) {
	n.applier.floor = &floor
	n.serveHeld()
	if n.applier.current != nil && n.applier.checkFloor() != nil && !n.options.Direct {
		from, _ := n.selector.choice()
		n.selector.failOver(from)
	}
}

// failbackLoop returns to the first choice at intervals, so that nodes use a recovered relay or a recovered control
// instance of their failure domain again.
func (n *Node) failbackLoop(ctx context.Context) error {
	if n.options.Direct {
		return n.approachLoop(ctx)
	}
	for ctx.Err() == nil {
		_, switched := n.selector.choice()
		wait := failbackInterval
		if n.selector.bypassesRelays() {
			wait = relayRetryInterval
		}
		timer := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
		case <-switched:
		case <-timer.C:
			n.selector.failBack()
		}
		timer.Stop()
	}
	return nil
}

// approachLoop turns to a control instance of the node's failure domain while another one is in use. Without such an
// instance it returns to the first choice at intervals, so that nodes spread again over recovered instances.
func (n *Node) approachLoop(ctx context.Context) error {
	lastFailback := time.Now()
	for ctx.Err() == nil {
		sleepWithJitter(ctx, approachInterval)
		from, _ := n.selector.choice()
		if target := n.selector.nearer(); target != nil {
			if n.isFresh(ctx, target) {
				n.options.Logger.Info().Str("upstream", target.Addr).Str("upstream_before", from.Addr).Msg("turned to a control instance of this failure domain")
				n.selector.switchTo(target)
			}
			continue
		}
		if time.Since(lastFailback) > failbackInterval {
			lastFailback = time.Now()
			n.selector.failBack()
		}
	}
	return nil
}

// isFresh reports whether a control instance answers and is in contact with a quorum. A node does not turn to one that is
// down or partitioned, because it would get no versions while it finds out.
func (n *Node) isFresh(ctx context.Context, target *distribution.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, ageQueryTimeout)
	defer cancel()
	response, err := target.Distribution.Floor(ctx, &apiv1.FloorRequest{FailureDomain: n.options.FailureDomain})
	return err == nil && response.Synced
}

// newBackOff returns an exponential backoff with jitter that never gives up.
func newBackOff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(minRetryDelay),
		backoff.WithMaxInterval(maxRetryDelay),
		backoff.WithMaxElapsedTime(0),
	)
}

// handleWatchFailure fails over to the next choice and waits for the backoff. After an answer that asks for a later retry
// it waits that long and stays with the upstream, which is overloaded.
func (n *Node) handleWatchFailure(ctx context.Context, from *distribution.Client, err error, retry backoff.BackOff) {
	if after, ok := retryAfter(err); ok {
		sleepWithJitter(ctx, after)
		return
	}
	n.selector.failOver(from)
	sleepWithJitter(ctx, retry.NextBackOff())
}

// retryAfter returns the delay that an overloaded upstream asked for.
func retryAfter(err error) (time.Duration, bool) {
	var refused twirp.Error
	if !errors.As(err, &refused) || refused.Code() != twirp.ResourceExhausted {
		return 0, false
	}
	ms, err := strconv.ParseInt(refused.Meta(distribution.MetaRetryAfter), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

// watchOnce makes one watch request and handles the response. It returns errInterrupted if another upstream is chosen or
// the floor becomes known while it waits.
func (n *Node) watchOnce(ctx context.Context, from *distribution.Client, switched, floorKnown <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timing.WatchWait+n.watchSlack())
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-switched:
			cancel()
		case <-floorKnown:
			cancel()
		case <-ended:
		}
	}()
	response, err := from.Distribution.Watch(ctx, n.watchRequest())
	if err != nil {
		select {
		case <-switched:
			return errInterrupted
		case <-floorKnown:
			return errInterrupted
		default:
			return err
		}
	}
	return n.handleResponse(ctx, from, response)
}

func (n *Node) watchRequest() *apiv1.WatchRequest {
	request := &apiv1.WatchRequest{
		Instance:       n.options.Instance,
		FailureDomain:  n.options.FailureDomain,
		Services:       n.options.Services,
		WaitMs:         uint32(n.options.Timing.WatchWait.Milliseconds()),
		RelaysEpoch:    n.selector.epoch(),
		StaleAfterMs:   n.staleAfterMs(),
		MembersAfterMs: uint32(max(0, time.Until(n.nextMembersAt).Milliseconds())),
	}
	request.MembersSource, request.MembersSeq = n.directory.Position()
	if current := n.applier.current; current != nil {
		request.Version = current.Version
		request.Term = current.Term
		request.Digest = current.Digest
	}
	if n.applier.wantFull {
		// Without a digest, the response carries no delta.
		request.Digest = 0
		return request
	}
	request.RefusedVersion, request.Refusal = n.applier.refusedVersion, n.applier.refusal
	return request
}

// handleResponse applies a response to a watch. A stale snapshot is returned as an error, so that the node fails over to
// another upstream. Any other refused configuration is only recorded, because it is not a fault of the connection.
func (n *Node) handleResponse(ctx context.Context, from *distribution.Client, response *apiv1.WatchResponse) error {
	n.learnRelays(response.Relays)
	n.learnControlInstances(response.ControlInstances)
	changed, refused := n.applier.apply(response)
	if refused != nil {
		n.options.Logger.Warn().Err(refused).Str("upstream", from.Addr).Msg("configuration refused")
	}
	if changed {
		n.logHeld(from, response)
	}
	membersChanged, err := n.applyMembers(response.Members)
	if err != nil {
		return err
	}
	if changed || membersChanged {
		n.serveHeld()
	}
	n.applier.confirm(response, time.Now())
	n.publishStatus()
	if refused != nil {
		n.renewWithNewRevision()
	}
	if errors.Is(refused, ErrStaleSnapshot) {
		return refused
	}
	if err := n.applier.checkFloor(); err != nil {
		return err
	}
	if time.Duration(response.AgeMs)*time.Millisecond >= n.options.Timing.StaleAge {
		n.switchToFresher(ctx, from, response.AgeMs)
	}
	return nil
}

// logHeld logs the newly held snapshot and learns its relays.
func (n *Node) logHeld(from *distribution.Client, response *apiv1.WatchResponse) {
	current := n.applier.current
	event := n.options.Logger.Info().Uint64("version", current.Version).Uint64("config_term", current.Term).
		Str("digest", strconv.FormatUint(current.Digest, 16)).Str("upstream", from.Addr).Bool("delta", response.Delta != nil).
		Int("bytes", len(response.Delta)+len(response.Snapshot))
	if len(current.EvacuatedDomains) > 0 {
		event.Strs("evacuated_domains", current.EvacuatedDomains)
	}
	if n.applier.mayServe() {
		event.Msg("configuration applied")
	} else {
		event.Msg("configuration held until the floor of the version is known")
	}
	n.learnRelays(distribution.RelaysOf(current))
}

// serveHeld makes the node serve by the held snapshot and members if it may. A version that is served for the first time
// is passed to OnApply and announced.
func (n *Node) serveHeld() {
	if !n.applier.mayServe() {
		return
	}
	current := n.applier.current
	n.table.Store(routing.Build(current, n.directory.Servers(), n.registry))
	if current == n.Status().Snapshot {
		return
	}
	n.publishStatus()
	if shared := n.table.Load().SharedRoutes(); len(shared) > 0 {
		n.options.Logger.Warn().Uint64("version", current.Version).Strs("routes", shared).Msg("routes match the same calls as others")
	}
	if n.options.OnApply != nil {
		n.options.OnApply(current)
	}
	if n.announcesApplied() {
		n.renewWithNewRevision()
	}
}

func (n *Node) learnRelays(relays *apiv1.Assignment) {
	n.relay.LearnRelays(relays)
	if n.selector.learnRelays(relays) {
		n.options.Logger.Info().Uint64("epoch", relays.Epoch).Msg("relays learned")
	}
}

// applyMembers applies a membership update and reports whether there was one. The next one is requested only once
// membersBudget allows it.
func (n *Node) applyMembers(data []byte) (bool, error) {
	if len(data) == 0 {
		return false, nil
	}
	update, err := distribution.DecodeMembers(data)
	if err != nil {
		return false, err
	}
	for _, err := range n.directory.Apply(update) {
		n.options.Logger.Warn().Err(err).Msg("record of a backend server passed over")
	}
	n.knowsMembers.Store(true)
	now := time.Now()
	delay := n.membersBudget.ReserveN(now, min(len(data), membersBurst)).DelayFrom(now)
	n.nextMembersAt = now.Add(min(delay, maxMembersDelay))
	return true, nil
}

// announcesApplied reports whether a newly applied version is to be announced now.
func (n *Node) announcesApplied() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied.record(time.Now())
}

// publishStatus publishes the state of the configuration.
func (n *Node) publishStatus() {
	served := n.applier.current
	if !n.applier.mayServe() {
		served = nil
	}
	n.status.Store(&Status{
		Snapshot:          served,
		RefusedVersion:    n.applier.refusedVersion,
		Refusal:           n.applier.refusal,
		LastWatchResponse: time.Now(),
		ConfirmedAt:       n.applier.confirmedAt,
	})
}

// ageQueryTimeout bounds the queries for a fresher upstream, because a partitioned process does not answer.
const ageQueryTimeout = 500 * time.Millisecond

// switchToFresher queries the age of the data of the alternative upstreams in parallel and switches to the first one whose
// data is fresher by at least half of StaleAge. While no leader is elected all data is stale, and the node keeps its
// upstream.
func (n *Node) switchToFresher(ctx context.Context, from *distribution.Client, ageMs uint64) {
	queryCtx, cancel := context.WithTimeout(ctx, ageQueryTimeout)
	defer cancel()
	others := n.selector.alternatives()
	fresher := make(chan *distribution.Client, len(others))
	var running sync.WaitGroup
	for _, other := range others {
		if other == from {
			continue
		}
		running.Go(func() {
			response, err := other.Distribution.Floor(queryCtx, &apiv1.FloorRequest{FailureDomain: n.options.FailureDomain})
			if err == nil && response.AgeMs+uint64(n.options.Timing.StaleAge.Milliseconds())/2 <= ageMs {
				fresher <- other
				cancel()
			}
		})
	}
	running.Wait()
	select {
	case other := <-fresher:
		n.options.Logger.Info().Str("upstream", other.Addr).Str("upstream_before", from.Addr).Uint64("age_ms", ageMs).
			Msg("turned to a sender whose word is younger")
		n.selector.switchTo(other)
	default:
	}
}

// LearnControlAddrs adds the addresses of control instances if the node watches them directly.
func (n *Node) LearnControlAddrs(addrs []string) {
	var instances []*apiv1.ControlInstance
	for _, addr := range addrs {
		instances = append(instances, &apiv1.ControlInstance{ControlAddr: addr})
	}
	n.learnControlInstances(instances)
}

// learnControlInstances adds control instances if the node watches them directly.
func (n *Node) learnControlInstances(instances []*apiv1.ControlInstance) {
	if n.options.Direct && n.selector.learnControlInstances(instances) {
		n.options.Logger.Info().Strs("control", n.selector.controlAddrs()).Msg("control instances learned")
	}
}

// staleAfterMs returns the age of its data at which a control instance is to answer a watch early; 0 for never, because
// relays pass on data of any age.
func (n *Node) staleAfterMs() uint32 {
	if !n.options.Direct {
		return 0
	}
	return uint32(n.options.Timing.StaleAge.Milliseconds())
}

// watchSlack returns the time that is allowed for the response to a watch beyond its wait.
func (n *Node) watchSlack() time.Duration {
	return min(requestTimeout, n.options.Timing.WatchWait)
}
