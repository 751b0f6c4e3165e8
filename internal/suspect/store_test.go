package suspect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBookCondemnsAfterTwoDeathsForATime(t *testing.T) {
	book, now := NewStore(), time.Unix(1000, 0)
	require.True(t, book.Empty())
	require.True(t, book.RecordCrash("rota", 1, ServerProcess{"a", 1}, now))
	require.False(t, book.RecordCrash("rota", 1, ServerProcess{"a", 1}, now), "one death told twice")
	require.False(t, book.Blocked("rota", 1, now))
	require.True(t, book.RecordCrash("rota", 1, ServerProcess{"a", 2}, now))
	require.True(t, book.Blocked("rota", 1, now))
	require.False(t, book.Blocked("desk", 1, now), "another service")
	require.False(t, book.Blocked("rota", 1, now.Add(TTL)))
	book.DeleteExpired(now.Add(TTL))
	require.True(t, book.Empty())
}

func TestBookClearsWhatCompletes(t *testing.T) {
	book, now := NewStore(), time.Unix(1000, 0)
	require.False(t, book.RecordCompletion("rota", 1, now), "not suspect")
	book.RecordCrash("rota", 1, ServerProcess{"a", 1}, now)
	require.True(t, book.RecordCompletion("rota", 1, now))
	require.False(t, book.RecordCompletion("rota", 1, now))
	book.RecordCrash("rota", 1, ServerProcess{"b", 1}, now)
	require.False(t, book.Blocked("rota", 1, now))
}

func TestBookIsBounded(t *testing.T) {
	book, now := NewStore(), time.Unix(1000, 0)
	for i := range 2 * maxSuspects {
		book.RecordCrash("rota", Fingerprint(i), ServerProcess{"a", uint64(i)}, now.Add(time.Duration(i)))
	}
	require.Len(t, book.entries, maxSuspects)
	require.Contains(t, book.entries, key{"rota", 2*maxSuspects - 1})
	require.NotContains(t, book.entries, key{"rota", 0})
}
