package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTokensEndWithTheirLease: a node that was frozen finds its tokens void, and an answer that arrives after the lease gives none.
func TestTokensEndWithTheirLease(t *testing.T) {
	now := time.Now()
	var s stock
	s.add(2, now.Add(time.Second), now)
	s.add(1, now.Add(-time.Second), now)
	require.Equal(t, 2, s.size(now))
	until, ok := s.take(now)
	require.True(t, ok)
	require.Equal(t, now.Add(time.Second), until)
	_, ok = s.take(now.Add(time.Second))
	require.False(t, ok)
}

// TestReturnedTokenKeepsItsEnd: the token of a refused call can be spent again, but not for longer.
func TestReturnedTokenKeepsItsEnd(t *testing.T) {
	now := time.Now()
	var s stock
	s.add(1, now.Add(time.Second), now)
	until, _ := s.take(now)
	s.add(5, now.Add(2*time.Second), now)
	s.add(1, until, now)
	first, _ := s.take(now)
	require.Equal(t, until, first, "the token that ends first is used first")
	s.add(1, until, now.Add(time.Second))
	require.Equal(t, 5, s.size(now))
}

// TestHeadcountRemembers: nodes that cannot be reached keep their part, also at nodes that have forgotten them.
func TestHeadcountRemembers(t *testing.T) {
	now := time.Now()
	var h headcount
	h.record(92, now)
	h.record(61, now.Add(time.Minute))
	require.Equal(t, 92, h.most())
	h.record(61, now.Add(headcountMemory+time.Minute))
	require.Equal(t, 92, h.most())
	h.record(61, now.Add(2*headcountMemory+2*time.Minute))
	require.Equal(t, 61, h.most())
}
