package distribution

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/copies"
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
// A node acts on the change, but must not acknowledge it: it would forget it in a restart.
var ErrNotStored = errors.New("too few control instances have stored that the backend server drains")

// DrainStore stores on the disks of control instances what is acknowledged to a backend server that leaves, or to an operator who
// drains it.
type DrainStore struct {
	// Instance and FailureDomain are those of this process.
	Instance      string
	FailureDomain string
	Tolerance     copies.Tolerance
	// Holders lists the known control instances, the preferred ones first.
	Holders func() []copies.Holder
	Client  *http.Client
	Logger  zerolog.Logger
}

// storeAnswer is the answer of one control instance.
type storeAnswer struct {
	holder copies.Holder
	err    error
}

// Store returns once so many control instances have stored the records that these outlast every tolerated loss. Otherwise the error
// wraps ErrNotStored.
func (s *DrainStore) Store(ctx context.Context, records []*apiv1.BackendServer) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	holders := s.Holders()
	collection := copies.NewCollection(s.Tolerance, holders)
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
			s.Logger.Debug().Err(answer.err).Str("control", answer.holder.Addr).Msg("drain not stored by a control instance")
			collection.Failed(answer.holder.Addr)
			ask(collection.Next())
		case <-retry.C:
			ask(collection.Retry())
		case <-hedge.C:
			ask(collection.Rest())
		case <-patience.C:
			collection.GiveUpWaiting()
		case <-ctx.Done():
			s.Logger.Warn().Strs("stored_by", addrsOf(collection.Holders())).Int("control_instances", len(holders)).
				Dur("took_ms", time.Since(began)).Msg("drain not acknowledged, too few control instances have stored it")
			return errors.Wrap(ErrNotStored, ctx.Err().Error())
		}
	}
	s.Logger.Info().Strs("stored_by", addrsOf(collection.Holders())).Dur("took_ms", time.Since(began)).Msg("drain stored")
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
func (s *DrainStore) ask(ctx context.Context, holder copies.Holder, records []*apiv1.BackendServer) storeAnswer {
	client := Dial(holder.Addr, s.Client)
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
func (s *DrainStore) askEarlierRelease(ctx context.Context, client *Client, records []*apiv1.BackendServer) error {
	request := &apiv1.SyncRequest{Instance: s.Instance, FailureDomain: s.FailureDomain}
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
