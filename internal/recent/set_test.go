package recent

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSetHoldsTheLatestValues(t *testing.T) {
	const capacity = 10
	set := NewSet[int](capacity)
	for value := range 10 * capacity {
		set.Add(value)
		set.Add(value)
		for latest := range min(capacity, value) {
			require.True(t, set.Contains(value-latest))
		}
		require.False(t, set.Contains(value-2*capacity))
		require.LessOrEqual(t, len(set.newer)+len(set.older), 2*capacity)
	}
}
