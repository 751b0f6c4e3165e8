package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/copies"
	"samphireflow/internal/distribution"
)

const (
	// storeTimeout bounds the wait until enough control instances have stored what a node is about to acknowledge. A platform that
	// gets no acknowledgement within a second repeats its request.
	storeTimeout = 800 * time.Millisecond
	// storeHedgeDelay is the time after which all other control instances are asked too, because one that was asked may be slow.
	storeHedgeDelay = 100 * time.Millisecond
	// storePatience is the time after which a control instance that has not answered counts as away.
	storePatience = 500 * time.Millisecond
	// storeRetryDelay is the time after which control instances that failed are asked again.
	storeRetryDelay = 100 * time.Millisecond
)

// ErrNotStored is wrapped by the error for a change of a backend server's state that too few control instances have stored in time.
// The node acts on the change, but must not acknowledge it: it would forget it in a restart.
var ErrNotStored = errors.New("too few control instances have stored that the backend server drains")

// drainStore stores on the disks of control instances what a node acknowledges to its backend server or to an operator. It asks the
// control instances itself, whichever process its leases are renewed at: that one may be away.
type drainStore struct {
	instance      string
	failureDomain string
	tolerance     copies.Tolerance
	// holders lists the known control instances, the preferred ones first.
	holders func() []copies.Holder
	dial    func(addr string) *distribution.Client
	logger  zerolog.Logger
}

// storeAnswer is the answer of one control instance.
type storeAnswer struct {
	holder copies.Holder
	err    error
}

// store returns once so many control instances have stored the records that these outlast every tolerated loss. Otherwise the error
// wraps ErrNotStored.
func (s *drainStore) store(ctx context.Context, records []*apiv1.BackendServer) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	holders := s.holders()
	collection := copies.NewCollection(s.tolerance, holders)
	answers := make(chan storeAnswer)
	ask := func(list []copies.Holder) {
		for _, holder := range list {
			go func() {
				answer := s.ask(ctx, holder, records)
				select {
				case answers <- answer:
				case <-ctx.Done():
				}
			}()
		}
	}
	ask(collection.Next())
	hedge, patience := time.NewTimer(storeHedgeDelay), time.NewTimer(storePatience)
	defer hedge.Stop()
	defer patience.Stop()
	retry := time.NewTicker(storeRetryDelay)
	defer retry.Stop()
	for !collection.Complete() {
		select {
		case answer := <-answers:
			if answer.err == nil {
				collection.Stored(answer.holder)
				continue
			}
			s.logger.Debug().Err(answer.err).Str("control", answer.holder.Addr).Msg("drain not stored by a control instance")
			collection.Failed(answer.holder.Addr)
			ask(collection.Next())
		case <-retry.C:
			ask(collection.Retry())
		case <-hedge.C:
			ask(collection.Rest())
		case <-patience.C:
			collection.GiveUpWaiting()
		case <-ctx.Done():
			s.logger.Warn().Strs("stored_by", addrsOf(collection.Holders())).Int("control_instances", len(holders)).
				Dur("took_ms", time.Since(began)).Msg("drain not acknowledged, too few control instances have stored it")
			return errors.Wrap(ErrNotStored, ctx.Err().Error())
		}
	}
	s.logger.Info().Strs("stored_by", addrsOf(collection.Holders())).Dur("took_ms", time.Since(began)).Msg("drain stored")
	return nil
}

func addrsOf(holders []copies.Holder) []string {
	addrs := make([]string, len(holders))
	for i, holder := range holders {
		addrs[i] = holder.Addr
	}
	return addrs
}

// ask has one control instance store the records.
func (s *drainStore) ask(ctx context.Context, holder copies.Holder, records []*apiv1.BackendServer) storeAnswer {
	client := s.dial(holder.Addr)
	response, err := client.Membership.StoreDrains(ctx, &apiv1.StoreDrainsRequest{Servers: records})
	var serviceError twirp.Error
	if errors.As(err, &serviceError) && serviceError.Code() == twirp.BadRoute {
		return storeAnswer{holder, s.askEarlierRelease(ctx, client, records)}
	}
	if err != nil {
		return storeAnswer{holder, err}
	}
	return storeAnswer{copies.Holder{Addr: holder.Addr, FailureDomain: response.FailureDomain, Region: response.Region}, nil}
}

// askEarlierRelease has a control instance store the records that does not know StoreDrains. It stores the drains that another
// process syncs before it answers, but does not say if it fails to. A revision below all others lets the records of the node's
// renewals replace these.
func (s *drainStore) askEarlierRelease(ctx context.Context, client *distribution.Client, records []*apiv1.BackendServer) error {
	request := &apiv1.SyncRequest{Instance: s.instance, FailureDomain: s.failureDomain}
	for _, record := range records {
		synced := proto.Clone(record).(*apiv1.BackendServer)
		synced.Revision = 1
		if synced.Leaving {
			synced.State = apiv1.ServerState_SERVER_STATE_GONE
		}
		request.Servers = append(request.Servers, synced)
	}
	_, err := client.Relay.Sync(ctx, request)
	return err
}
