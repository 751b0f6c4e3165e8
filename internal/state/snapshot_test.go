package state

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/packed"
)

// TestSnapshotIsPackedAndOlderOnesAreRead restores a snapshot as it is made now and as it was made before they were packed.
func TestSnapshotIsPackedAndOlderOnesAreRead(t *testing.T) {
	m := NewMachine()
	content := strings.Repeat("the same words again ", 500)
	require.Equal(t, accepted, publish(t, m, document(t, 4, 0, content, route("rota", "a", "/a/"))).Outcome)
	image, err := m.Snapshot()
	require.NoError(t, err)
	require.True(t, packed.Is(image))
	plain, err := packed.Unpack(image)
	require.NoError(t, err)
	require.False(t, packed.Is(plain))
	for _, form := range [][]byte{image, plain} {
		restarted := NewMachine()
		require.NoError(t, restarted.Restore(form))
		number, held := inForce(t, restarted)
		require.EqualValues(t, 4, number)
		require.Equal(t, content, held)
	}
	require.Error(t, NewMachine().Restore(image[:len(image)/2]))
}
