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
	// heartbeatInterval is the time between two announcements while the state does not change.
	heartbeatInterval = time.Second
	// announceRetryInterval is the delay before a failed announcement is retried.
	announceRetryInterval = 100 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
)

// announcer announces the backend server to the node beside it: immediately when its state changes, and regularly as a
// heartbeat.
type announcer struct {
	client   apiv1.Membership
	describe func() *apiv1.BackendServer
	// changed signals a state change that has not been announced.
	changed chan struct{}
	log     zerolog.Logger

	// mu serializes announcements, so that an old state does not arrive after a newer one.
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

// notify triggers the next announcement immediately.
func (a *announcer) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// run sends announcements until the context ends.
func (a *announcer) run(ctx context.Context) {
	failing := false
	for {
		err := a.announce()
		if err != nil && !failing && ctx.Err() == nil {
			a.log.Warn().Err(err).Msg("announcement to the node failed")
		}
		failing = err != nil
		if !a.waitForNext(ctx, failing) {
			return
		}
	}
}

// waitForNext waits until the next announcement is due. It returns false when the context ends.
func (a *announcer) waitForNext(ctx context.Context, failing bool) bool {
	interval := heartbeatInterval
	if failing {
		interval = announceRetryInterval
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

// announce sends the current state. It does not stop early when the process shuts down: the node could then still
// process an aborted announcement after the next one.
func (a *announcer) announce() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	_, err := a.client.Announce(ctx, &apiv1.AnnounceRequest{Server: a.describe()})
	return errors.Wrap(err, "announce")
}
