package suspect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashOf returns the report that a request was in flight when a backend server of version v1 crashed.
func crashOf(fingerprint Fingerprint, instance string, incarnation uint64) crashReport {
	return crashReport{key: key{"rota", fingerprint}, process: ServerProcess{instance, incarnation}, version: "v1"}
}

// isNew returns whether RecordCrash reported a crash that was not known.
func isNew(_ uint32, isNew bool) bool { return isNew }

func TestStoreBlocksAfterTwoCrashesUntilTheTTL(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	require.True(t, store.Empty())
	require.True(t, isNew(store.RecordCrash(crashOf(1, "a", 1), now)))
	require.False(t, isNew(store.RecordCrash(crashOf(1, "a", 1), now)), "one crash reported twice")
	require.False(t, store.Blocked(key{"rota", 1}, "v1", now))
	require.True(t, isNew(store.RecordCrash(crashOf(1, "a", 2), now)))
	require.True(t, store.Blocked(key{"rota", 1}, "v1", now))
	require.False(t, store.Blocked(key{"desk", 1}, "v1", now), "another service")
	require.False(t, store.Blocked(key{"rota", 1}, "v1", now.Add(TTL)))
	store.DeleteExpired(now.Add(TTL))
	require.True(t, store.Empty())
}

func TestStoreClearsCompletedRequests(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	require.False(t, store.RecordCompletion(key{"rota", 1}, "v1", now), "not suspect")
	store.RecordCrash(crashOf(1, "a", 1), now)
	require.True(t, store.RecordCompletion(key{"rota", 1}, "v1", now))
	require.False(t, store.RecordCompletion(key{"rota", 1}, "v1", now))
	store.RecordCrash(crashOf(1, "b", 1), now)
	require.False(t, store.Blocked(key{"rota", 1}, "v1", now))
}

func TestStoreIsBounded(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	for i := range 2 * maxEntries {
		store.RecordCrash(crashOf(Fingerprint(i), "a", uint64(i)), now.Add(time.Duration(i)))
	}
	require.Len(t, store.entries, maxEntries)
	require.Contains(t, store.entries, key{"rota", 2*maxEntries - 1})
	require.NotContains(t, store.entries, key{"rota", 0})
}
