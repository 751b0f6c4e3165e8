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

// fakeNode takes announcements; nothing else of the service is used.
type fakeNode struct {
	apiv1.Membership
	states chan apiv1.ServerState
}

// Announce passes the state on.
func (n *fakeNode) Announce(_ context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	n.states <- request.Server.State
	return &apiv1.AnnounceResponse{}, nil
}

func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// TestStopAnnouncesDrainAndThenTheEnd stops a server and follows what it tells the node beside it.
func TestStopAnnouncesDrainAndThenTheEnd(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	node := &fakeNode{states: make(chan apiv1.ServerState, 100)}
	beside := httptest.NewServer(apiv1.NewMembershipServer(node))
	defer beside.Close()
	cfg := testConfig()
	cfg.Addr, cfg.AdminAddr = freeAddr(t), freeAddr(t)
	cfg.NodeControlAddr = beside.Listener.Addr().String()
	cfg.DrainTimeout = time.Minute
	server, err := New(cfg, zerolog.Nop())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	require.Equal(t, apiv1.ServerState_SERVER_STATE_READY, <-node.states)
	response, err := http.Get("http://" + cfg.Addr + "/rota/1")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)

	stop()
	require.NoError(t, <-ended)
	close(node.states)
	told := []apiv1.ServerState{apiv1.ServerState_SERVER_STATE_READY}
	for state := range node.states {
		if told[len(told)-1] != state {
			told = append(told, state)
		}
	}
	require.Equal(t, []apiv1.ServerState{
		apiv1.ServerState_SERVER_STATE_READY,
		apiv1.ServerState_SERVER_STATE_DRAINING,
		apiv1.ServerState_SERVER_STATE_GONE,
	}, told)
	http.DefaultClient.CloseIdleConnections()
}
