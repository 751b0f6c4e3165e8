package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/tree"
)

const (
	largeChanges = 150
	largeRoutes  = 800
	// stateHeapLimit is the heap in bytes that the state may hold after large changes: a quarter of the 280 MB of a
	// control instance, which has its log and the snapshots of all failure domains beside it.
	stateHeapLimit = 70 << 20
)

// changeAllRoutes returns the command for a document that changes the settings of all its routes.
func changeAllRoutes(tb testing.TB, number uint64) []byte {
	body := &apiv1.DocumentBody{Branches: []*apiv1.Branch{{Path: "/"}, {Path: "/services/rota"}, {Path: "/services/turnos"}}}
	for i := range largeRoutes {
		body.Branches = append(body.Branches, &apiv1.Branch{Path: fmt.Sprintf("/services/rota/routes/r%d", i), Settings: []*apiv1.Setting{
			{Key: tree.KeyRouteHost, Value: "rota.example"}, {Key: tree.KeyRoutePrefix, Value: fmt.Sprintf("/p%d/", i)},
			{Key: tree.KeyRouteIdempotent, Value: "true"}, {Key: tree.KeyCallTimeout, Value: fmt.Sprintf("%dms", 1000+number%100)},
			{Key: tree.KeyRouteSplit, Value: fmt.Sprintf("rota=%d,turnos=%d", 50+number%40, 50-number%40)},
		}})
	}
	body.Content = fmt.Appendf(nil, "%d", number)
	packedBody, err := PackBody(body)
	require.NoError(tb, err)
	command := &apiv1.Command{Kind: &apiv1.Command_Publish{Publish: &apiv1.PublishRequest{Number: number, BaseNumber: number - 1, PackedBody: packedBody}}}
	data, err := proto.Marshal(command)
	require.NoError(tb, err)
	return data
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestHistoryOfLargeChangesIsBounded guards against a state that grows with each change until the control instance runs
// out of memory: the history was bounded by the number of its entries only, each of which held two copies of what the
// change replaced.
func TestHistoryOfLargeChangesIsBounded(t *testing.T) {
	before := heapInUse()
	m := NewMachine()
	for number := uint64(1); number <= largeChanges; number++ {
		result := &apiv1.CommandResult{}
		require.NoError(t, proto.Unmarshal(m.Apply(number, 1, changeAllRoutes(t, number)), result))
		require.Equal(t, accepted, result.Publish.Outcome, result.Publish.Detail)
	}
	require.Less(t, heapInUse()-before, int64(stateHeapLimit))

	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	unpacked, err := packed.Unpack(snapshot)
	require.NoError(t, err)
	require.Less(t, len(unpacked), stateHeapLimit/4, "a starting instance decodes the whole snapshot")

	restarted := NewMachine()
	require.NoError(t, restarted.Restore(snapshot))
	again, err := restarted.Snapshot()
	require.NoError(t, err)
	require.Equal(t, snapshot, again)
	newest := m.View().Version
	require.Equal(t, newest, restarted.View().History(0, 1)[0].Version)
	previous, ok := restarted.View().TreeAt(newest - 1)
	require.True(t, ok, "the newest change can be reverted")
	expected, ok := m.View().TreeAt(newest - 1)
	require.True(t, ok)
	require.True(t, proto.Equal(&apiv1.StateImage{Branches: expected.Messages()}, &apiv1.StateImage{Branches: previous.Messages()}))
	_, ok = restarted.View().TreeAt(1)
	require.False(t, ok, "the first changes are no longer kept")
}
