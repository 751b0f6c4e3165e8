package backendserver

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	apiv1 "samphireflow/api/v1"
)

// fakeNode records announced states. It implements no other method of the service.
type fakeNode struct {
	apiv1.Membership
	states chan apiv1.ServerState
}

// Announce sends the announced state to the channel.
func (n *fakeNode) Announce(_ context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	n.states <- request.Server.State
	return &apiv1.AnnounceResponse{}, nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// TestStopAnnouncesDrainingThenGone stops a server and checks the states that it announces to the node beside it.
func TestStopAnnouncesDrainingThenGone(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	node := &fakeNode{states: make(chan apiv1.ServerState, 100)}
	nodeServer := httptest.NewServer(apiv1.NewMembershipServer(node))
	defer nodeServer.Close()
	cfg := testConfig()
	calls, admin := listen(t), listen(t)
	cfg.Addr, cfg.AdminAddr = calls.Addr().String(), admin.Addr().String()
	cfg.NodeControlAddr = nodeServer.Listener.Addr().String()
	cfg.DrainTimeout = time.Minute
	server, err := New(cfg, zerolog.Nop())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- server.serveOn(ctx, calls, admin) }()
	select {
	case state := <-node.states:
		require.Equal(t, apiv1.ServerState_SERVER_STATE_READY, state)
	case err := <-ended:
		require.FailNow(t, "the server ended before it announced itself", "%v", err)
	}
	response, err := http.Get("http://" + cfg.Addr + "/rota/1")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)

	stop()
	require.NoError(t, <-ended)
	close(node.states)
	announced := []apiv1.ServerState{apiv1.ServerState_SERVER_STATE_READY}
	for state := range node.states {
		if announced[len(announced)-1] != state {
			announced = append(announced, state)
		}
	}
	require.Equal(t, []apiv1.ServerState{
		apiv1.ServerState_SERVER_STATE_READY,
		apiv1.ServerState_SERVER_STATE_DRAINING,
		apiv1.ServerState_SERVER_STATE_GONE,
	}, announced)
	http.DefaultClient.CloseIdleConnections()
}
