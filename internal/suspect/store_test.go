package suspect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStoreBlocksAfterTwoCrashesUntilTheTTL(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	require.True(t, store.Empty())
	require.True(t, store.RecordCrash("rota", 1, ServerProcess{"a", 1}, now))
	require.False(t, store.RecordCrash("rota", 1, ServerProcess{"a", 1}, now), "one crash reported twice")
	require.False(t, store.Blocked("rota", 1, now))
	require.True(t, store.RecordCrash("rota", 1, ServerProcess{"a", 2}, now))
	require.True(t, store.Blocked("rota", 1, now))
	require.False(t, store.Blocked("desk", 1, now), "another service")
	require.False(t, store.Blocked("rota", 1, now.Add(TTL)))
	store.DeleteExpired(now.Add(TTL))
	require.True(t, store.Empty())
}

func TestStoreClearsCompletedRequests(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	require.False(t, store.RecordCompletion("rota", 1, now), "not suspect")
	store.RecordCrash("rota", 1, ServerProcess{"a", 1}, now)
	require.True(t, store.RecordCompletion("rota", 1, now))
	require.False(t, store.RecordCompletion("rota", 1, now))
	store.RecordCrash("rota", 1, ServerProcess{"b", 1}, now)
	require.False(t, store.Blocked("rota", 1, now))
}

func TestStoreIsBounded(t *testing.T) {
	store, now := NewStore(), time.Unix(1000, 0)
	for i := range 2 * maxEntries {
		store.RecordCrash("rota", Fingerprint(i), ServerProcess{"a", uint64(i)}, now.Add(time.Duration(i)))
	}
	require.Len(t, store.entries, maxEntries)
	require.Contains(t, store.entries, key{"rota", 2*maxEntries - 1})
	require.NotContains(t, store.entries, key{"rota", 0})
}
