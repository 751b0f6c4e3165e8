package distribution

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/snapshot"
)

// versionOf returns a version with many services, of which only the first one differs between versions.
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

// unpackedLen returns the size of an update before packing. Packed sizes cannot be compared, because they depend on how
// repetitive the content is.
func unpackedLen(t *testing.T, data []byte) int {
	unpacked, err := packed.Unpack(data)
	require.NoError(t, err)
	return len(unpacked)
}

func TestHistoryReturnsOneDeltaOrOneSnapshot(t *testing.T) {
	history := NewHistory()
	first := versionOf(1)
	for version := uint64(1); version <= 2*maxVersions; version++ {
		require.True(t, history.Put(versionOf(version)))
	}
	outdated := versionOf(maxVersions + 10)
	update := history.UpdateFrom(nil, outdated.Version, outdated.Digest)
	require.Nil(t, update.Snapshot)
	next, _, err := Decode(&snapshot.Digester{}, outdated, &apiv1.WatchResponse{Delta: update.Delta})
	require.NoError(t, err)
	require.EqualValues(t, 2*maxVersions, next.Version, "one delta covers hundreds of versions")
	require.Less(t, unpackedLen(t, update.Delta), unpackedLen(t, history.UpdateFrom(nil, 0, 0).Snapshot)/5)

	update = history.UpdateFrom(nil, first.Version, first.Digest)
	require.Nil(t, update.Delta, "a version that is no longer kept gets the full snapshot")
	next, _, err = Decode(&snapshot.Digester{}, nil, &apiv1.WatchResponse{Snapshot: update.Snapshot})
	require.NoError(t, err)
	require.EqualValues(t, 2*maxVersions, next.Version)

	update = history.UpdateFrom(nil, outdated.Version, outdated.Digest+1)
	require.NotNil(t, update.Snapshot, "a watcher with different content gets the full snapshot")
	require.False(t, history.Put(versionOf(3)), "an older version is ignored")
}

func TestHistoryEncodesOnceForAllWatchers(t *testing.T) {
	history := NewHistory()
	first := versionOf(1)
	history.Put(first)
	history.Put(versionOf(2))
	a := history.UpdateFrom([]string{"s00"}, 1, snapshot.NewFilter([]string{"s00"}).Apply(first).Digest)
	b := history.UpdateFrom([]string{"s00"}, 1, snapshot.NewFilter([]string{"s00"}).Apply(first).Digest)
	require.NotEmpty(t, a.Delta)
	require.Same(t, &a.Delta[0], &b.Delta[0])
	full := history.UpdateFrom(nil, 0, 0)
	require.Less(t, unpackedLen(t, history.UpdateFrom([]string{"s01"}, 0, 0).Snapshot), unpackedLen(t, full.Snapshot)/5, "the subset of one service contains only what it needs")
}

func TestHistoryEncodesNoSnapshotForWatchersThatGetSmallDeltas(t *testing.T) {
	history := NewHistory()
	first := versionOf(1)
	history.Put(first)
	history.Put(versionOf(2))
	require.NotEmpty(t, history.UpdateFrom(nil, 1, first.Digest).Delta)
	require.Nil(t, history.subsets[""].encoded)
}
