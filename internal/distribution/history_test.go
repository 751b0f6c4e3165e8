package distribution

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

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

// changedRoutes returns a version whose routes all differ from those of the other versions.
func changedRoutes(version uint64, routes int) *apiv1.Snapshot {
	snap := &apiv1.Snapshot{Version: version, FailureDomain: "north", Services: []*apiv1.ServiceConfig{{Name: "rota"}}}
	for i := range routes {
		snap.Routes = append(snap.Routes, &apiv1.RouteConfig{Name: fmt.Sprintf("rota/r%04d", i), Service: "rota", Settings: []*apiv1.Setting{
			{Key: "route.prefix", Value: fmt.Sprintf("/p%d/", i)}, {Key: "call.timeout", Value: fmt.Sprintf("%dms", version)},
		}})
	}
	snap.Digest = snapshot.Digest(snap)
	return snap
}

// TestHistoryOfLargeChangesIsBounded guards against a control instance that runs out of memory on changes of all routes: the
// versions that are kept as bases of deltas were bounded by their number only.
func TestHistoryOfLargeChangesIsBounded(t *testing.T) {
	const routes = 800
	history := NewHistory()
	for version := uint64(1); version <= maxVersions; version++ {
		history.Put(changedRoutes(version, routes))
	}
	held := map[*apiv1.RouteConfig]bool{}
	for _, snap := range history.versions {
		for _, route := range snap.Routes {
			held[route] = true
		}
	}
	require.LessOrEqual(t, len(held), 3*routes, "the newest version, and as many changed routes as it has")
	require.Equal(t, len(history.versions), len(history.changedBytes))

	previous := changedRoutes(maxVersions-1, routes)
	update := history.UpdateFrom(nil, previous.Version, previous.Digest)
	next, _, err := Decode(&snapshot.Digester{}, previous, &apiv1.WatchResponse{Delta: update.Delta, Snapshot: update.Snapshot})
	require.NoError(t, err)
	require.EqualValues(t, maxVersions, next.Version)
}

// TestSmallChangesStayBasesOfDeltas checks that changes of single routes of a large configuration are kept up to the limit
// of their number, also behind a change of all of them.
func TestSmallChangesStayBasesOfDeltas(t *testing.T) {
	history := NewHistory()
	snap := changedRoutes(1, 800)
	history.Put(snap)
	snap = changedRoutes(2, 800)
	for version := uint64(2); version < 2+maxVersions; version++ {
		next := proto.Clone(snap).(*apiv1.Snapshot)
		next.Version = version
		next.Routes[0].Settings[1].Value = fmt.Sprintf("%ds", version)
		next.Digest = snapshot.Digest(next)
		history.Put(next)
	}
	require.Len(t, history.versions, maxVersions)
	require.EqualValues(t, 2, history.versions[0].Version)
}

// TestCachedSubsetsOfLargeSnapshotsAreBounded guards against the cache of the same kind: one subset for each requested set of
// services, bounded by number only.
func TestCachedSubsetsOfLargeSnapshotsAreBounded(t *testing.T) {
	history := NewHistory()
	snap := changedRoutes(1, 10000)
	history.Put(snap)
	size := proto.Size(snap)
	for i := range maxSubsets {
		history.UpdateFrom([]string{"rota", fmt.Sprintf("s%03d", i)}, 0, 0)
		require.LessOrEqual(t, len(history.subsets)*size, 2*maxSubsetBytes)
		require.LessOrEqual(t, len(history.filters)*size, 2*maxSubsetBytes)
	}
}
