package state

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/packed"
)

// TestSnapshotIsPackedAndUnpackedOneIsRestored restores a compressed snapshot and an uncompressed one, as older releases
// wrote it. A truncated snapshot must be refused.
func TestSnapshotIsPackedAndUnpackedOneIsRestored(t *testing.T) {
	m := NewMachine()
	content := strings.Repeat("the same words again ", 500)
	require.Equal(t, accepted, publish(t, m, document(t, 4, 0, content, route("rota", "a", "/a/"))).Outcome)
	packedSnapshot, err := m.Snapshot()
	require.NoError(t, err)
	require.True(t, packed.Is(packedSnapshot))
	unpackedSnapshot, err := packed.Unpack(packedSnapshot)
	require.NoError(t, err)
	require.False(t, packed.Is(unpackedSnapshot))
	for _, data := range [][]byte{packedSnapshot, unpackedSnapshot} {
		restarted := NewMachine()
		require.NoError(t, restarted.Restore(data))
		number, restored := documentInForce(t, restarted)
		require.EqualValues(t, 4, number)
		require.Equal(t, content, restored)
	}
	require.Error(t, NewMachine().Restore(packedSnapshot[:len(packedSnapshot)/2]))
}
