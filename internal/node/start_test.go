package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/packed"
	"samphireflow/internal/snapshot"
)

// electingControl is a control instance without a leader: it hands out the version that it holds, but cannot tell the floor
// until it has elected one.
type electingControl struct {
	apiv1.Distribution
	held    []byte
	elected chan struct{}
	watches atomic.Int32
}

func (c *electingControl) Floor(ctx context.Context, _ *apiv1.FloorRequest) (*apiv1.FloorResponse, error) {
	select {
	case <-c.elected:
		return &apiv1.FloorResponse{Instance: "c", Version: 3, Synced: true}, nil
	default:
		return &apiv1.FloorResponse{Instance: "c", Version: 3}, nil
	}
}

func (c *electingControl) Watch(ctx context.Context, request *apiv1.WatchRequest) (*apiv1.WatchResponse, error) {
	if c.watches.Add(1); request.Version == 0 {
		return &apiv1.WatchResponse{Snapshot: c.held}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestNodeHoldsAVersionBeforeItsFloorIsKnown starts a node while the control group elects a leader, as after a restart of
// all processes. The node must have fetched the version by then, must not serve by it before, and must serve at once after.
func TestNodeHoldsAVersionBeforeItsFloorIsKnown(t *testing.T) {
	snap := &apiv1.Snapshot{Version: 3, FailureDomain: "north", Services: []*apiv1.ServiceConfig{{Name: "s"}}}
	snap.Digest = snapshot.Digest(snap)
	data, err := proto.Marshal(snap)
	require.NoError(t, err)
	control := &electingControl{held: packed.Pack(data), elected: make(chan struct{})}
	server := httptest.NewUnstartedServer(http.Handler(apiv1.NewDistributionServer(control)))
	server.Config.Protocols = distribution.ServerProtocols()
	server.Start()
	defer server.Close()
	n := New(Options{
		Instance: "n", FailureDomain: "north", ControlAddr: "127.0.0.1:1", Control: []string{server.Listener.Addr().String()},
		Direct: true, Timing: Timing{WatchWait: 10 * time.Second}, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.watchLoop(ctx) }()
	require.Eventually(t, func() bool { return control.watches.Load() == 2 }, 5*time.Second, time.Millisecond, "the version is fetched")
	require.Nil(t, n.Table())
	require.Zero(t, n.Status().Snapshot.GetVersion())
	close(control.elected)
	require.Eventually(t, func() bool { return n.Table() != nil }, 5*time.Second, time.Millisecond, "the held watch does not delay it")
	require.Equal(t, uint64(3), n.Status().Snapshot.GetVersion())
}

// nearControl is a control instance of the group near and far, which counts the watches that reach it.
type nearControl struct {
	apiv1.Distribution
	group   []*apiv1.ControlInstance
	watches atomic.Int32
}

func (c *nearControl) Floor(context.Context, *apiv1.FloorRequest) (*apiv1.FloorResponse, error) {
	return &apiv1.FloorResponse{ControlInstances: c.group}, nil
}

func (c *nearControl) Watch(ctx context.Context, _ *apiv1.WatchRequest) (*apiv1.WatchResponse, error) {
	c.watches.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestNodeFetchesItsFirstVersionInItsFailureDomain starts a node that knows only a control instance of another failure
// domain. It must not fetch the whole configuration from that one.
func TestNodeFetchesItsFirstVersionInItsFailureDomain(t *testing.T) {
	near, far := &nearControl{}, &nearControl{}
	serve := func(control *nearControl) string {
		server := httptest.NewUnstartedServer(http.Handler(apiv1.NewDistributionServer(control)))
		server.Config.Protocols = distribution.ServerProtocols()
		server.Start()
		t.Cleanup(server.CloseClientConnections)
		return server.Listener.Addr().String()
	}
	nearAddr, farAddr := serve(near), serve(far)
	far.group = []*apiv1.ControlInstance{{ControlAddr: nearAddr, FailureDomain: "north"}, {ControlAddr: farAddr, FailureDomain: "south"}}
	n := New(Options{
		Instance: "n", FailureDomain: "north", ControlAddr: "127.0.0.1:1", Control: []string{farAddr},
		Direct: true, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = n.watchLoop(ctx) }()
	require.Eventually(t, func() bool { return near.watches.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.Zero(t, far.watches.Load())
}
