package suspect

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

// TestCompletionClearsOnlyEarlierCrashes guards against a request that is never blocked again after one completed response.
func TestCompletionClearsOnlyEarlierCrashes(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	store.RecordCrash(crashOf(1, "a", 1), now)
	store.RecordCrash(crashOf(1, "b", 1), now)
	require.True(t, store.Blocked(key{"rota", 1}, "v1", now))
	require.True(t, store.RecordCompletion(key{"rota", 1}, "v1", now))
	require.False(t, store.Blocked(key{"rota", 1}, "v1", now))
	require.False(t, isNew(store.RecordCrash(crashOf(1, "b", 1), now)), "a cleared crash that another node reports late")
	for incarnation := range uint64(3) {
		require.False(t, store.Blocked(key{"rota", 1}, "v1", now))
		require.True(t, isNew(store.RecordCrash(crashOf(1, "c", incarnation), now)))
	}
	require.True(t, store.Blocked(key{"rota", 1}, "v1", now))
	require.True(t, store.RecordCompletion(key{"rota", 1}, "v1", now))
	require.False(t, store.Blocked(key{"rota", 1}, "v1", now))
}

// TestRequestIsBlockedByVersion guards against crashes at a new version that are cleared by responses of the old one, and against
// a request that is refused at the version at which it completes.
func TestRequestIsBlockedByVersion(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	store.RecordCrash(crashOf(1, "a", 1), now)
	require.True(t, store.RecordCompletion(key{"rota", 1}, "v1", now))
	for incarnation := range uint64(2) {
		report := crashOf(1, "new", incarnation)
		report.version = "v2"
		store.RecordCrash(report, now)
		require.False(t, store.RecordCompletion(key{"rota", 1}, "v1", now), "other nodes know")
	}
	require.True(t, store.Blocked(key{"rota", 1}, "v2", now))
	require.False(t, store.Blocked(key{"rota", 1}, "v1", now))

	store.RecordCrash(crashOf(2, "a", 1), now)
	report := crashOf(2, "new", 1)
	report.version = "v2"
	store.RecordCrash(report, now)
	for _, version := range []string{"v1", "v2", "v3"} {
		require.True(t, store.Blocked(key{"rota", 2}, version, now), "a request that completes nowhere")
	}
}

// TestCompletedRequestSurvivesTwoCrashes guards against a request that completes and is refused because it was in flight by chance
// when a request beside it crashed two backend servers.
func TestCompletedRequestSurvivesTwoCrashes(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	for incarnation := range uint64(2) {
		report := crashOf(1, "a", incarnation)
		report.ranBefore = true
		store.RecordCrash(report, now)
	}
	require.False(t, store.Blocked(key{"rota", 1}, "v1", now))
	store.RecordCrash(crashOf(1, "a", 3), now)
	require.True(t, store.Blocked(key{"rota", 1}, "v1", now))
}

// TestCrashesAtOneMomentCountOnce guards against an innocent request that is refused because two backend servers crashed at one moment
// with it in flight at both. Runs that began after a crash count on their own.
func TestCrashesAtOneMomentCountOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	crashOfRun := func(incarnation uint64, began, ended int) crashReport {
		report := crashOf(1, "a", incarnation)
		report.run = Run{Began: at(began), Ended: at(ended)}
		return report
	}
	here, there := NewStore(), NewStore()
	record := func(report crashReport, now time.Time) {
		generation, _ := here.RecordCrash(report, now)
		report.run, report.generation = Run{}, generation
		there.RecordCrash(report, now)
	}
	blocked := func() bool {
		now := at(1000)
		require.Equal(t, here.Blocked(key{"rota", 1}, "v1", now), there.Blocked(key{"rota", 1}, "v1", now))
		return here.Blocked(key{"rota", 1}, "v1", now)
	}
	record(crashOfRun(1, 0, 100), at(102))
	record(crashOfRun(2, 50, 100), at(103))
	record(crashOfRun(3, 99, 101), at(104))
	require.False(t, blocked(), "side by side")
	record(crashOfRun(4, 100, 120), at(121))
	require.True(t, blocked(), "after the first crash, which was reported later")
}

// TestRetryCountsThoughItIsReportedFirst guards against a request that is sent to a third backend server because the reports of its
// attempts overtook each other.
func TestRetryCountsThoughItIsReportedFirst(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	for incarnation, run := range []Run{
		{Began: now.Add(20), Ended: now.Add(30), Earlier: 1},
		{Began: now, Ended: now.Add(10)},
	} {
		report := crashOf(1, "a", uint64(incarnation))
		report.run = run
		require.False(t, store.Blocked(key{"rota", 1}, "v1", now))
		store.RecordCrash(report, now)
	}
	require.True(t, store.Blocked(key{"rota", 1}, "v1", now))
}

// TestBlockedRequestsAreEvictedLast guards against a request that is unblocked by callers that send ever new bodies beside it.
func TestBlockedRequestsAreEvictedLast(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	store.RecordCrash(crashOf(1, "a", 1), now)
	store.RecordCrash(crashOf(1, "a", 2), now)
	for i := range 2 * maxEntries {
		store.RecordCrash(crashOf(Fingerprint(10+i), "b", uint64(i)), now.Add(time.Duration(i+1)))
	}
	require.Len(t, store.entries, maxEntries)
	require.True(t, store.Blocked(key{"rota", 1}, "v1", now))
}

// TestFingerprintsOfEarlierBuildsMatchNothing guards against reports of nodes of the build before that clear or block requests of
// this one, and against a start that takes their list for all there is to know.
func TestFingerprintsOfEarlierBuildsMatchNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(Options{Now: func() time.Time { return now }})
	request := &Request{Service: "rota", Identity: Identity{Caller: "desk", Method: "GET", Host: "h", Target: "/1"}}
	fingerprint, _ := request.fingerprint()
	// The build before hashed route, method and host with target, each followed by a zero byte.
	earlier := Fingerprint(xxhash.Sum64String("lookup\x00GET\x00h/1\x00"))
	require.NotEqual(t, earlier, fingerprint)
	for incarnation := range uint64(2) {
		tracker.HandlePeerReport(&apiv1.SuspectRequest{Service: "rota", Fingerprint: uint64(earlier), Instance: "a", Incarnation: incarnation})
	}
	require.False(t, tracker.Blocked(request, "v1"))
	for incarnation := range uint64(2) {
		tracker.HandlePeerReport(&apiv1.SuspectRequest{Service: "rota", Fingerprint: uint64(fingerprint), Instance: "a", Incarnation: incarnation, Version: "v1"})
	}
	require.True(t, tracker.Blocked(request, "v1"))
	tracker.HandlePeerReport(&apiv1.SuspectRequest{Service: "rota", Fingerprint: uint64(earlier), Cleared: true})
	require.True(t, tracker.Blocked(request, "v1"))
	require.EqualValues(t, fingerprintVersion, tracker.List().FingerprintVersion)
}

// TestMergedListsBlockTheSameRequests checks that a node that has learned from another blocks what that one blocks.
func TestMergedListsBlockTheSameRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, now := NewStore(), time.Unix(1000, 0)
		versions := []string{"v1", "v2"}
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			k := key{"rota", Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))}
			version := rapid.SampledFrom(versions).Draw(t, "version")
			if rapid.Bool().Draw(t, "completes") {
				store.RecordCompletion(k, version, now)
				continue
			}
			store.RecordCrash(crashReport{
				key: k, version: version, process: ServerProcess{"a", rapid.Uint64Range(1, 9).Draw(t, "incarnation")}, ranBefore: rapid.Bool().Draw(t, "ran"),
			}, now)
		}
		learned := NewStore()
		learned.Merge(store.List(now), now)
		for request := range Fingerprint(4) {
			for _, version := range versions {
				k := key{"rota", request}
				require.Equal(t, store.Blocked(k, version, now), learned.Blocked(k, version, now))
			}
		}
	})
}
