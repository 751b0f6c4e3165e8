package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/member"
)

// leaseHome is a control instance, as far as the leases of nodes go.
type leaseHome struct {
	apiv1.Membership
	hub       *member.Hub
	addr      string
	failing   atomic.Bool
	notStored atomic.Bool
}

func (h *leaseHome) Renew(_ context.Context, request *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	if h.failing.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "unreachable")
	}
	response := &apiv1.RenewResponse{DrainNotStored: h.notStored.Load()}
	h.hub.Renew(request, response, time.Now())
	return response, nil
}

func (h *leaseHome) StoreDrains(_ context.Context, request *apiv1.StoreDrainsRequest) (*apiv1.StoreDrainsResponse, error) {
	if h.failing.Load() || h.notStored.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "not stored")
	}
	h.hub.StoreDrains(request.Servers, time.Now())
	return &apiv1.StoreDrainsResponse{Instance: "home"}, nil
}

// knows reports whether the home has heard of a backend server.
func (h *leaseHome) knows(instance string) bool {
	return slices.ContainsFunc(h.hub.Members().Servers, func(server *apiv1.BackendServer) bool { return server.Instance == instance })
}

func startLeaseHome(t *testing.T) *leaseHome {
	h := &leaseHome{hub: member.NewHub("home", 1)}
	server := httptest.NewUnstartedServer(http.Handler(apiv1.NewMembershipServer(h)))
	server.Config.Protocols = distribution.ServerProtocols()
	server.Start()
	t.Cleanup(server.Close)
	h.addr = server.Listener.Addr().String()
	return h
}

// startNode starts a node that renews its leases at the home, and returns the function that ends it without notice.
func (h *leaseHome) startNode(t *testing.T) (*Node, func()) {
	n := New(Options{
		Instance: "n", FailureDomain: "north", ControlAddr: "127.0.0.1:1", Control: []string{h.addr}, Direct: true, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		_ = n.renewLoop(ctx)
	}()
	return n, func() {
		h.failing.Store(true)
		cancel()
		<-killed
		h.failing.Store(false)
	}
}

// heartbeatOf returns a heartbeat of one start of the backend server beside the node.
func heartbeatOf(sequence uint64, state apiv1.ServerState) *apiv1.AnnounceRequest {
	return &apiv1.AnnounceRequest{Sequence: sequence, Server: &apiv1.BackendServer{
		Instance: "s", Service: "rota", Addr: "127.0.0.1:2", Incarnation: 1000, StartedUnixMs: 1000, State: state,
	}}
}

const (
	ready    = apiv1.ServerState_SERVER_STATE_READY
	draining = apiv1.ServerState_SERVER_STATE_DRAINING
)

// stateAtHome returns the state of the backend server that the other nodes see, or false if they see none.
func (h *leaseHome) stateAtHome() (apiv1.ServerState, bool) {
	for _, server := range h.hub.Members().Servers {
		return server.State, true
	}
	return 0, false
}

// TestRestartedNodeKeepsAcknowledgedDrain guards against a backend server that gets calls again after it was acknowledged that
// it drains, because its node was killed and took a late heartbeat for the newest.
func TestRestartedNodeKeepsAcknowledgedDrain(t *testing.T) {
	for name, drain := range map[string]func(*testing.T, *Node){
		"withdrawn": func(t *testing.T, n *Node) {
			require.NoError(t, n.Withdraw(t.Context(), "s"))
		},
		"own word": func(t *testing.T, n *Node) {
			_, err := n.Announce(t.Context(), heartbeatOf(9, draining))
			require.NoError(t, err)
		},
		"operator": func(t *testing.T, n *Node) {
			_, err := n.Drain(t.Context(), false)
			require.NoError(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			home := startLeaseHome(t)
			n, kill := home.startNode(t)
			_, err := n.Announce(t.Context(), heartbeatOf(5, ready))
			require.NoError(t, err)
			require.Eventually(t, func() bool { state, ok := home.stateAtHome(); return ok && state == ready }, 5*time.Second, time.Millisecond)
			drain(t, n)
			state, _ := home.stateAtHome()
			require.Equal(t, draining, state, "another process knows it before it is acknowledged")
			kill()

			n, kill = home.startNode(t)
			defer kill()
			_, err = n.Announce(t.Context(), heartbeatOf(8, ready))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return n.Announced().GetState() == draining }, 5*time.Second, time.Millisecond)
			state, _ = home.stateAtHome()
			require.Equal(t, draining, state)
			require.Equal(t, draining, n.LocalServer().State, "the gate takes no new calls either")
			if name == "operator" {
				server, err := n.Drain(t.Context(), true)
				require.NoError(t, err)
				require.Equal(t, ready, server.State)
				state, _ = home.stateAtHome()
				require.Equal(t, ready, state, "the order can be undone after the restart")
			}
		})
	}
}

// TestRestartedNodeTakesWithdrawalBeforeHeartbeats guards against a withdrawal that is acknowledged and not recorded, because
// the node has had no heartbeat since its start.
func TestRestartedNodeTakesWithdrawalBeforeHeartbeats(t *testing.T) {
	home := startLeaseHome(t)
	n, kill := home.startNode(t)
	_, err := n.Announce(t.Context(), heartbeatOf(5, ready))
	require.NoError(t, err)
	require.Eventually(t, func() bool { _, ok := home.stateAtHome(); return ok }, 5*time.Second, time.Millisecond)
	kill()
	n, kill = home.startNode(t)
	require.NoError(t, n.Withdraw(t.Context(), "s"))
	state, _ := home.stateAtHome()
	require.Equal(t, draining, state)
	_, err = n.Announce(t.Context(), heartbeatOf(6, ready))
	require.NoError(t, err)
	require.Nil(t, n.Announced(), "the late heartbeat is passed over")
	kill()

	n, kill = home.startNode(t)
	defer kill()
	_, err = n.Announce(t.Context(), heartbeatOf(6, ready))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return n.Announced().GetState() == draining }, 5*time.Second, time.Millisecond)
	next := heartbeatOf(1, ready)
	next.Server.StartedUnixMs = time.Now().UnixMilli()
	next.Server.Incarnation = uint64(next.Server.StartedUnixMs)
	_, err = n.Announce(t.Context(), next)
	require.NoError(t, err)
	require.Equal(t, ready, n.Announced().State, "the next start is in service")
}

// TestDrainIsNotAcknowledgedFromMemoryAlone guards against acknowledgements that only the memory of the node keeps.
func TestDrainIsNotAcknowledgedFromMemoryAlone(t *testing.T) {
	home := startLeaseHome(t)
	n, kill := home.startNode(t)
	defer kill()
	_, err := n.Announce(t.Context(), heartbeatOf(5, ready))
	require.NoError(t, err)
	home.notStored.Store(true)
	require.ErrorIs(t, n.Withdraw(t.Context(), "s"), ErrNotStored)
	require.Equal(t, draining, n.LocalServer().State, "no new calls are taken all the same")
	home.notStored.Store(false)
	require.NoError(t, n.Withdraw(t.Context(), "s"), "the repeated request is acknowledged")

	home.failing.Store(true)
	_, err = n.Drain(t.Context(), false)
	require.ErrorIs(t, err, ErrNotStored)
	home.failing.Store(false)
}

// TestWithdrawalAfterTheLeaseOutlastsTheNode guards against a withdrawal that only the memory of the node keeps, because the lease of
// the backend server had run out when it came.
func TestWithdrawalAfterTheLeaseOutlastsTheNode(t *testing.T) {
	home := startLeaseHome(t)
	n, kill := home.startNode(t)
	_, err := n.Announce(t.Context(), heartbeatOf(5, ready))
	require.NoError(t, err)
	require.Eventually(t, func() bool { _, ok := home.stateAtHome(); return ok }, 5*time.Second, time.Millisecond)
	n.mu.Lock()
	n.announced.expires = time.Now().Add(-time.Millisecond)
	n.mu.Unlock()
	require.Nil(t, n.Announced())
	require.NoError(t, n.Withdraw(t.Context(), "s"))
	kill()

	n, kill = home.startNode(t)
	defer kill()
	_, err = n.Announce(t.Context(), heartbeatOf(6, ready))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return n.Announced().GetState() == draining }, 5*time.Second, time.Millisecond, "a late heartbeat")
	state, _ := home.stateAtHome()
	require.Equal(t, draining, state)
}

// TestWithdrawalAfterADelayedHeartbeatOfAnEarlierStart guards against a withdrawal that is acknowledged without effect, because the
// only heartbeat since the start of the node is a delayed one of the backend server before.
func TestWithdrawalAfterADelayedHeartbeatOfAnEarlierStart(t *testing.T) {
	heartbeatOfStart := func(instance string, start int64, sequence uint64) *apiv1.AnnounceRequest {
		request := heartbeatOf(sequence, ready)
		request.Server.Instance, request.Server.Incarnation, request.Server.StartedUnixMs = instance, uint64(start), start
		return request
	}
	home := startLeaseHome(t)
	n, kill := home.startNode(t)
	for _, request := range []*apiv1.AnnounceRequest{heartbeatOfStart("old", 1000, 1), heartbeatOfStart("new", 2000, 1)} {
		_, err := n.Announce(t.Context(), request)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return home.knows(request.Server.Instance) }, 5*time.Second, time.Millisecond)
	}
	kill()

	n, kill = home.startNode(t)
	_, err := n.Announce(t.Context(), heartbeatOfStart("old", 1000, 2))
	require.NoError(t, err)
	require.NoError(t, n.Withdraw(t.Context(), "new"))
	for sequence := uint64(5); sequence < 9; sequence++ {
		_, err = n.Announce(t.Context(), heartbeatOfStart("new", 2000, sequence))
		require.NoError(t, err)
		require.NotEqual(t, "new", n.LocalServer().GetInstance(), "a late heartbeat puts it back into service")
	}
	kill()

	n, kill = home.startNode(t)
	defer kill()
	_, err = n.Announce(t.Context(), heartbeatOfStart("new", 2000, 9))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return n.LocalServer().GetState() == draining }, 5*time.Second, time.Millisecond, "after another restart")
	_, err = n.Announce(t.Context(), heartbeatOfStart("third", time.Now().UnixMilli(), 1))
	require.NoError(t, err)
	require.Equal(t, ready, n.LocalServer().State, "the next start is in service")
}

// TestWithdrawalOfAnInstanceThatNobodyHasHeardOf guards against a withdrawal that only the memory of the node keeps, because its backend
// server's heartbeats are late and neither the node nor the home of the leases has heard of this start, or of any.
func TestWithdrawalOfAnInstanceThatNobodyHasHeardOf(t *testing.T) {
	for _, startedBefore := range []bool{false, true} {
		home := startLeaseHome(t)
		n, kill := home.startNode(t)
		beat := func(started time.Time, sequence uint64) {
			request := heartbeatOf(sequence, ready)
			request.Server.StartedUnixMs = started.UnixMilli()
			request.Server.Incarnation = uint64(request.Server.StartedUnixMs)
			_, err := n.Announce(t.Context(), request)
			require.NoError(t, err)
		}
		started := time.Now().Add(-time.Minute)
		if startedBefore {
			beat(started.Add(-time.Minute), 1)
			require.Eventually(t, func() bool { return home.knows("s") }, 5*time.Second, time.Millisecond)
		}
		require.NoError(t, n.Withdraw(t.Context(), "s"))
		beat(started, 1)
		require.NotEqual(t, ready, n.LocalServer().GetState(), "the node itself passes it over")
		kill()

		n, kill = home.startNode(t)
		beat(started, 2)
		require.Eventually(t, func() bool { return n.LocalServer().GetState() == draining }, 5*time.Second, time.Millisecond, "a late heartbeat")
		beat(time.Now(), 1)
		require.Equal(t, ready, n.LocalServer().State, "the next start is in service")
		require.Never(t, func() bool { return n.LocalServer().State != ready }, 100*time.Millisecond, time.Millisecond)
		kill()
	}
}

// TestNextStartUnderAWithdrawnNameIsInService guards against a start that is taken for the one before it under the same name, because the
// node still tells that one's withdrawal.
func TestNextStartUnderAWithdrawnNameIsInService(t *testing.T) {
	home := startLeaseHome(t)
	n, kill := home.startNode(t)
	defer kill()
	beat := func(started time.Time, sequence uint64) {
		request := heartbeatOf(sequence, ready)
		request.Server.StartedUnixMs = started.UnixMilli()
		request.Server.Incarnation = uint64(request.Server.StartedUnixMs)
		_, err := n.Announce(t.Context(), request)
		require.NoError(t, err)
	}
	beat(time.Now().Add(-time.Minute), 1)
	require.Eventually(t, func() bool { return home.knows("s") }, 5*time.Second, time.Millisecond)
	require.NoError(t, n.Withdraw(t.Context(), "s"))
	time.Sleep(2 * time.Millisecond)
	beat(time.Now(), 1)
	inService := func() bool {
		state, ok := home.stateAtHome()
		return ok && state == ready && n.LocalServer().GetState() == ready
	}
	require.Eventually(t, inService, 5*time.Second, time.Millisecond)
	n.renewWithNewRevision()
	require.Never(t, func() bool { return !inService() }, 200*time.Millisecond, time.Millisecond)
}

// TestStartOfBeforeTheNodeWaitsForAnAnswer guards against calls to a backend server that has left, while a restarted node that has taken
// its late heartbeat reaches no process that could tell so. A start after that of the node needs no answer.
func TestStartOfBeforeTheNodeWaitsForAnAnswer(t *testing.T) {
	home := startLeaseHome(t)
	n, kill := home.startNode(t)
	defer kill()
	home.failing.Store(true)
	_, err := n.Announce(t.Context(), heartbeatOf(1, ready))
	require.NoError(t, err)
	require.Never(t, func() bool { return n.LocalServer() != nil }, 100*time.Millisecond, time.Millisecond)
	require.Equal(t, ready, n.Announced().State, "it is announced all the same")
	home.failing.Store(false)
	require.Eventually(t, func() bool { return n.LocalServer().GetState() == ready }, 5*time.Second, time.Millisecond)

	home.failing.Store(true)
	next := heartbeatOf(1, ready)
	next.Server.StartedUnixMs = time.Now().UnixMilli()
	next.Server.Incarnation = uint64(next.Server.StartedUnixMs)
	_, err = n.Announce(t.Context(), next)
	require.NoError(t, err)
	require.Equal(t, ready, n.LocalServer().GetState(), "the node would know if this start had left")
	home.failing.Store(false)
}
