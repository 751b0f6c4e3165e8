package suspect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBookCondemnsAfterTwoDeathsForATime(t *testing.T) {
	book, now := NewBook(), time.Unix(1000, 0)
	require.True(t, book.Empty())
	require.True(t, book.Died("rota", 1, Start{"a", 1}, now))
	require.False(t, book.Died("rota", 1, Start{"a", 1}, now), "one death told twice")
	require.False(t, book.Condemned("rota", 1, now))
	require.True(t, book.Died("rota", 1, Start{"a", 2}, now))
	require.True(t, book.Condemned("rota", 1, now))
	require.False(t, book.Condemned("desk", 1, now), "another service")
	require.False(t, book.Condemned("rota", 1, now.Add(Memory)))
	book.Sweep(now.Add(Memory))
	require.True(t, book.Empty())
}

func TestBookClearsWhatCompletes(t *testing.T) {
	book, now := NewBook(), time.Unix(1000, 0)
	require.False(t, book.Completed("rota", 1, now), "not suspect")
	book.Died("rota", 1, Start{"a", 1}, now)
	require.True(t, book.Completed("rota", 1, now))
	require.False(t, book.Completed("rota", 1, now))
	book.Died("rota", 1, Start{"b", 1}, now)
	require.False(t, book.Condemned("rota", 1, now))
}

func TestBookIsBounded(t *testing.T) {
	book, now := NewBook(), time.Unix(1000, 0)
	for i := range 2 * maxSuspects {
		book.Died("rota", Fingerprint(i), Start{"a", uint64(i)}, now.Add(time.Duration(i)))
	}
	require.Len(t, book.entries, maxSuspects)
	require.Contains(t, book.entries, key{"rota", 2*maxSuspects - 1})
	require.NotContains(t, book.entries, key{"rota", 0})
}
