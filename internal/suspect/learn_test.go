package suspect

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// listingPeer is another node that lists the suspect requests of a tracker.
type listingPeer struct {
	apiv1.Traffic
	tracker *Tracker
}

func (p listingPeer) Suspects(context.Context, *apiv1.SuspectsRequest) (*apiv1.SuspectsResponse, error) {
	return p.tracker.List(), nil
}

// TestRestartedNodeLearnsSuspectRequests guards against a node that forgets in a restart which requests crash backend servers,
// and sends each of them to two more.
func TestRestartedNodeLearnsSuspectRequests(t *testing.T) {
	now := time.Now()
	newTracker := func(peers ...string) *Tracker {
		return NewTracker(Options{
			Peers: func() []string { return append([]string(nil), peers...) }, Client: http.DefaultClient, Logger: zerolog.Nop(),
			Now: func() time.Time { return now },
		})
	}
	running := newTracker()
	crash := func(fingerprint Fingerprint, count int) {
		for i := range count {
			running.HandlePeerReport(&apiv1.SuspectRequest{Service: "rota", Fingerprint: uint64(fingerprint), Instance: "s", Incarnation: uint64(i + 1)})
		}
	}
	crash(1, 2)
	crash(2, 1)
	crash(3, 2)
	running.HandlePeerReport(&apiv1.SuspectRequest{Service: "rota", Fingerprint: 3, Cleared: true})
	now = now.Add(TTL / 2)
	server := httptest.NewServer(apiv1.NewTrafficServer(listingPeer{tracker: running}))
	defer server.Close()
	silent := httptest.NewServer(http.NotFoundHandler())
	defer silent.Close()

	restarted := newTracker(server.Listener.Addr().String(), silent.Listener.Addr().String(), "127.0.0.1:1")
	require.False(t, restarted.store.Blocked(key{"rota", 1}, "", now))
	restarted.learn(t.Context())
	require.True(t, restarted.store.Blocked(key{"rota", 1}, "", now))
	require.False(t, restarted.store.Blocked(key{"rota", 2}, "", now), "one crash does not block")
	require.False(t, restarted.store.Blocked(key{"rota", 3}, "", now), "a completed request is not blocked")
	restarted.HandlePeerReport(&apiv1.SuspectRequest{Service: "rota", Fingerprint: 2, Instance: "s", Incarnation: 9})
	require.True(t, restarted.store.Blocked(key{"rota", 2}, "", now), "the crash before the restart counts")
	now = now.Add(TTL / 2)
	require.False(t, restarted.store.Blocked(key{"rota", 1}, "", now), "the time before the restart counts, too")
}
