package backendserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
)

const (
	// heartbeatInterval is the time between two announcements.
	heartbeatInterval = time.Second
	// announceRetry is the time after which a failed announcement is repeated.
	announceRetry = 100 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
)

// announcer tells the node beside the backend server about it, at once when its state changes and as a heartbeat.
type announcer struct {
	client   apiv1.Membership
	describe func() *apiv1.BackendServer
	changed  chan struct{}
	log      zerolog.Logger

	// mu keeps announcements in order, so that an old state does not arrive after a new one.
	mu sync.Mutex
}

func newAnnouncer(nodeControlAddr string, describe func() *apiv1.BackendServer, log zerolog.Logger) *announcer {
	return &announcer{
		client:   apiv1.NewMembershipProtobufClient("http://"+nodeControlAddr, &http.Client{}),
		describe: describe,
		changed:  make(chan struct{}, 1),
		log:      log,
	}
}

// notify makes the next announcement come at once.
func (a *announcer) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// run announces until the context ends.
func (a *announcer) run(ctx context.Context) {
	failing := false
	for {
		err := a.announce()
		if err != nil && !failing && ctx.Err() == nil {
			a.log.Warn().Err(err).Msg("the node does not take the announcement")
		}
		failing = err != nil
		if !a.pause(ctx, failing) {
			return
		}
	}
}

// pause waits until the next announcement is due. It returns false when the context ends.
func (a *announcer) pause(ctx context.Context, failing bool) bool {
	interval := heartbeatInterval
	if failing {
		interval = announceRetry
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-a.changed:
	case <-timer.C:
	}
	return true
}

// announce tells the present state. It is not cut short, since the node could take it later than the next one.
func (a *announcer) announce() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	_, err := a.client.Announce(ctx, &apiv1.AnnounceRequest{Server: a.describe()})
	return errors.Wrap(err, "announce")
}
