package distribution

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/snapshot"
)

// versionOf makes a version with many services, of which the first one changes from version to version.
func versionOf(version uint64) *apiv1.Snapshot {
	snap := &apiv1.Snapshot{Version: version, FailureDomain: "north"}
	for i := range 20 {
		name := fmt.Sprintf("s%02d", i)
		service := &apiv1.ServiceConfig{Name: name, Settings: []*apiv1.Setting{{Key: "call.timeout", Value: "1s"}}}
		if i == 0 {
			service.Settings[0].Value = fmt.Sprintf("%dms", version)
		}
		snap.Services = append(snap.Services, service)
		snap.Routes = append(snap.Routes, &apiv1.RouteConfig{Name: name + "/read", Service: name})
	}
	snap.Digest = snapshot.Digest(snap)
	return snap
}

// unpackedLen compares what answers hold; how far that can be packed depends on how often it repeats itself.
func unpackedLen(t *testing.T, data []byte) int {
	unpacked, err := packed.Unpack(data)
	require.NoError(t, err)
	return len(unpacked)
}

func TestHistoryAnswersWithOneDeltaOrOneSnapshot(t *testing.T) {
	history := NewHistory()
	first := versionOf(1)
	for version := uint64(1); version <= 2*reach; version++ {
		require.True(t, history.Put(versionOf(version)))
	}
	missedSome := versionOf(reach + 10)
	answer := history.UpdateFrom(nil, missedSome.Version, missedSome.Digest)
	require.Nil(t, answer.Snapshot)
	next, _, err := Decode(missedSome, &apiv1.WatchResponse{Delta: answer.Delta})
	require.NoError(t, err)
	require.EqualValues(t, 2*reach, next.Version, "hundreds of versions cost one delta")
	require.Less(t, unpackedLen(t, answer.Delta), unpackedLen(t, history.UpdateFrom(nil, 0, 0).Snapshot)/5)

	answer = history.UpdateFrom(nil, first.Version, first.Digest)
	require.Nil(t, answer.Delta, "a version out of reach gets the whole snapshot")
	next, _, err = Decode(nil, &apiv1.WatchResponse{Snapshot: answer.Snapshot})
	require.NoError(t, err)
	require.EqualValues(t, 2*reach, next.Version)

	answer = history.UpdateFrom(nil, missedSome.Version, missedSome.Digest+1)
	require.NotNil(t, answer.Snapshot, "a watcher with another content gets the whole snapshot")
	require.False(t, history.Put(versionOf(3)), "an older version is no news")
}

func TestHistoryEncodesOnceForAllWatchers(t *testing.T) {
	history := NewHistory()
	first := versionOf(1)
	history.Put(first)
	history.Put(versionOf(2))
	a := history.UpdateFrom([]string{"s00"}, 1, snapshot.Filter(first, []string{"s00"}).Digest)
	b := history.UpdateFrom([]string{"s00"}, 1, snapshot.Filter(first, []string{"s00"}).Digest)
	require.NotEmpty(t, a.Delta)
	require.Same(t, &a.Delta[0], &b.Delta[0])
	whole := history.UpdateFrom(nil, 0, 0)
	require.Less(t, unpackedLen(t, history.UpdateFrom([]string{"s01"}, 0, 0).Snapshot), unpackedLen(t, whole.Snapshot)/5, "a part holds what one service needs")
}
