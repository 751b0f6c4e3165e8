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

// errSwitched is the cause of a watch's end when another process was chosen.
var errSwitched = errors.New("another relay was chosen")

// watchLoop keeps one watch open and goes to the next choice when it fails.
func (n *Node) watchLoop(ctx context.Context) error {
	floor, err := n.floorLoop(ctx)
	if err != nil {
		return nil
	}
	n.applier.floor = floor
	retry := newRetry()
	for ctx.Err() == nil {
		from, switched := n.selector.choice()
		err := n.watchOnce(ctx, from, switched)
		switch {
		case err == nil:
			retry.Reset()
		case errors.Is(err, errSwitched):
		default:
			n.options.Logger.Debug().Err(err).Str("upstream", from.Addr).Msg("watch failed")
			n.recover(ctx, from, err, retry)
		}
	}
	return nil
}

// homeLoop turns back to the first choice now and then, so that a relay that returned gets its nodes back.
func (n *Node) homeLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		_, switched := n.selector.choice()
		wait := homeAfter
		if n.selector.strayed() {
			wait = relayAfter
		}
		timer := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
		case <-switched:
		case <-timer.C:
			n.selector.home()
		}
		timer.Stop()
	}
	return nil
}

// newRetry grows the pause from one failure to the next, with jitter, without end.
func newRetry() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(retryPause),
		backoff.WithMaxInterval(maxRetryPause),
		backoff.WithMaxElapsedTime(0),
	)
}

// recover turns to the next choice after a failure, or waits as long as an overloaded process asks for.
func (n *Node) recover(ctx context.Context, from *distribution.Client, err error, retry backoff.BackOff) {
	if after, ok := retryAfter(err); ok {
		pause(ctx, after)
		return
	}
	n.selector.fail(from)
	pause(ctx, retry.NextBackOff())
}

// retryAfter returns the time after which an overloaded process wants to be asked again.
func retryAfter(err error) (time.Duration, bool) {
	var refused twirp.Error
	if !errors.As(err, &refused) || refused.Code() != twirp.ResourceExhausted {
		return 0, false
	}
	ms, err := strconv.ParseInt(refused.Meta(distribution.MetaRetryAfter), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

func (n *Node) watchOnce(ctx context.Context, from *distribution.Client, switched <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timing.WatchWait+n.watchSlack())
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-switched:
			cancel()
		case <-ended:
		}
	}()
	response, err := from.Distribution.Watch(ctx, n.watchRequest())
	if err != nil {
		select {
		case <-switched:
			return errSwitched
		default:
			return err
		}
	}
	return n.takeResponse(ctx, from, response)
}

func (n *Node) watchRequest() *apiv1.WatchRequest {
	request := &apiv1.WatchRequest{
		Instance:       n.options.Instance,
		FailureDomain:  n.options.FailureDomain,
		Services:       n.options.Services,
		WaitMs:         uint32(n.options.Timing.WatchWait.Milliseconds()),
		RelaysEpoch:    n.selector.epoch(),
		StaleAfterMs:   n.staleAfterMs(),
		MembersAfterMs: uint32(max(0, time.Until(n.membersAt).Milliseconds())),
	}
	request.MembersSource, request.MembersSeq = n.directory.Position()
	if current := n.applier.current; current != nil {
		request.Version = current.Version
		request.Term = current.Term
		request.Digest = current.Digest
	}
	if n.applier.wantWhole {
		request.Digest = 0
		return request
	}
	request.RefusedVersion, request.Refusal = n.applier.refusedVersion, n.applier.refusal
	return request
}

// takeResponse acts on an answer. A refused answer is no fault of the connection, so that it is no error, but the
// word of a sender that is behind is.
func (n *Node) takeResponse(ctx context.Context, from *distribution.Client, response *apiv1.WatchResponse) error {
	n.learnRelays(response.Relays)
	n.LearnControlAddrs(response.ControlAddrs)
	changed, refused := n.applier.take(response)
	if refused != nil {
		n.options.Logger.Warn().Err(refused).Str("upstream", from.Addr).Msg("configuration refused")
	}
	if changed {
		n.applied()
	}
	membersChanged, err := n.takeMembers(response.Members)
	if err != nil {
		return err
	}
	if (changed || membersChanged) && n.applier.current != nil {
		n.table.Store(routing.Build(n.applier.current, n.directory.Servers(), n.registry))
	}
	n.publish(changed || refused != nil)
	if errors.Is(refused, ErrStaleSnapshot) {
		return refused
	}
	if time.Duration(response.AgeMs)*time.Millisecond >= n.options.Timing.StaleAge {
		n.lookForFresher(ctx, from, response.AgeMs)
	}
	return nil
}

// applied tells that the node acts on another snapshot.
func (n *Node) applied() {
	current := n.applier.current
	n.options.Logger.Info().Uint64("version", current.Version).Uint64("config_term", current.Term).
		Str("digest", strconv.FormatUint(current.Digest, 16)).Msg("configuration applied")
	if n.options.OnApply != nil {
		n.options.OnApply(current)
	}
	n.learnRelays(distribution.RelaysOf(current))
}

func (n *Node) learnRelays(relays *apiv1.Assignment) {
	n.relay.LearnRelays(relays)
	if n.selector.learn(relays) {
		n.options.Logger.Info().Uint64("epoch", relays.Epoch).Msg("relays learned")
	}
}

// takeMembers reports whether there was an update. The next one is asked for only once the node's share of
// bytes has room for it.
func (n *Node) takeMembers(data []byte) (bool, error) {
	if len(data) == 0 {
		return false, nil
	}
	update, err := distribution.DecodeMembers(data)
	if err != nil {
		return false, err
	}
	n.directory.Apply(update)
	n.knowsMembers.Store(true)
	now := time.Now()
	delay := n.membersBudget.ReserveN(now, min(len(data), membersBurst)).DelayFrom(now)
	n.membersAt = now.Add(min(delay, maxMembersDelay))
	return true, nil
}

// publish shows the state of the configuration; told asks to renew the lease at once with it.
func (n *Node) publish(told bool) {
	n.status.Store(&Status{
		Snapshot:        n.applier.current,
		RefusedVersion:  n.applier.refusedVersion,
		Refusal:         n.applier.refusal,
		LastWatchAnswer: time.Now(),
	})
	if told {
		n.revise()
		n.wakeRenewal()
	}
}

// fresherTimeout bounds the questions after a fresher sender: one that is cut off does not answer.
const fresherTimeout = 500 * time.Millisecond

// lookForFresher asks the other senders at the same time how old their word is and turns to the first whose word is much
// younger. While no leader is elected all words are old, and the node stays.
func (n *Node) lookForFresher(ctx context.Context, from *distribution.Client, ageMs uint64) {
	asked, cancel := context.WithTimeout(ctx, fresherTimeout)
	defer cancel()
	others := n.selector.others()
	fresher := make(chan *distribution.Client, len(others))
	var running sync.WaitGroup
	for _, other := range others {
		if other == from {
			continue
		}
		running.Go(func() {
			response, err := other.Distribution.Floor(asked, &apiv1.FloorRequest{FailureDomain: n.options.FailureDomain})
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
		n.selector.use(other)
	default:
	}
}

// LearnControlAddrs adds control instances, where the node follows them directly.
func (n *Node) LearnControlAddrs(addrs []string) {
	if n.options.Direct && n.selector.learnControl(addrs) {
		n.options.Logger.Info().Strs("control", addrs).Msg("control instances learned")
	}
}

// staleAfterMs asks control instances to answer when their word grows old. Relays pass on words of any age.
func (n *Node) staleAfterMs() uint32 {
	if !n.options.Direct {
		return 0
	}
	return uint32(n.options.Timing.StaleAge.Milliseconds())
}

// watchSlack is the time beyond its wait in which the answer to a watch must come.
func (n *Node) watchSlack() time.Duration {
	return min(requestTimeout, n.options.Timing.WatchWait)
}
