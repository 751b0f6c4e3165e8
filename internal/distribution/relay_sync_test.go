package distribution

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/snapshot"
)

// TestRelaysSendEachOtherDeltas lets a relay that is one version behind sync with another one.
func TestRelaysSendEachOtherDeltas(t *testing.T) {
	relay := NewRelay(RelayOptions{Instance: "a", FailureDomain: "north"})
	first, second := versionOf(1), versionOf(2)
	require.NoError(t, relay.state.addVersion(first))
	require.NoError(t, relay.state.addVersion(second))
	sync := func(held *apiv1.Snapshot) *apiv1.SyncResponse {
		response, err := relay.Sync(context.Background(), &apiv1.SyncRequest{Instance: "b", FailureDomain: "north", Version: held.GetVersion(), Digest: held.GetDigest()})
		require.NoError(t, err)
		return response
	}
	behind := sync(first)
	require.Empty(t, behind.Snapshot)
	next, _, err := Decode(&snapshot.Digester{}, first, behind)
	require.NoError(t, err)
	require.True(t, proto.Equal(second, next))

	next, _, err = Decode(&snapshot.Digester{}, nil, sync(nil))
	require.NoError(t, err)
	require.True(t, proto.Equal(second, next), "a relay without a version gets the whole snapshot")
	require.Empty(t, sync(second).Delta)
}

// TestRelayReportsEachRefusalOnce guards against a refusal that the node of the relay never learns of.
func TestRelayReportsEachRefusalOnce(t *testing.T) {
	reported := 0
	relay := NewRelay(RelayOptions{Instance: "a", FailureDomain: "north", OnRefusal: func() { reported++ }})
	dangling := &apiv1.Snapshot{Version: 1, FailureDomain: "north", Routes: []*apiv1.RouteConfig{{Name: "r", Service: "absent"}}}
	dangling.Digest = snapshot.Digest(dangling)
	require.Error(t, relay.state.addVersion(dangling))
	require.Error(t, relay.state.addVersion(dangling))
	require.Equal(t, 1, reported)
	require.NoError(t, relay.state.addVersion(versionOf(2)))
	require.Equal(t, 1, reported)
}
