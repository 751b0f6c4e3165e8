package departures

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/waltest"
)

func departed(instance string, incarnation uint64) *apiv1.BackendServer {
	return &apiv1.BackendServer{Instance: instance, Incarnation: incarnation, Leaving: true}
}

func instances(s *Store) []string {
	var list []string
	for _, server := range s.Servers() {
		list = append(list, fmt.Sprintf("%s/%d", server.Instance, server.Incarnation))
	}
	return list
}

// TestDeparturesOutlastPowerLoss guards against a departure that was acknowledged and is forgotten when all processes end.
func TestDeparturesOutlastPowerLoss(t *testing.T) {
	disk := waltest.NewDisk()
	store, err := Open(disk, "/data")
	require.NoError(t, err)
	require.NoError(t, store.Save([]*apiv1.BackendServer{departed("a", 1)}))
	require.NoError(t, store.Save([]*apiv1.BackendServer{departed("a", 1), departed("a", 2), departed("b", 1)}))
	disk.PowerLoss(rand.New(rand.NewPCG(1, 1)))
	store, err = Open(disk, "/data")
	require.NoError(t, err)
	require.Equal(t, []string{"a/1", "a/2", "b/1"}, instances(store))

	syncs := disk.Syncs()
	require.NoError(t, store.Save([]*apiv1.BackendServer{departed("b", 1)}))
	require.Equal(t, syncs, disk.Syncs(), "what is stored is not written again")
	disk.FailSyncs(true)
	require.Error(t, store.Save([]*apiv1.BackendServer{departed("c", 1)}))
	disk.FailSyncs(false)
	require.NoError(t, store.Save([]*apiv1.BackendServer{departed("c", 1)}), "a failed write is tried again")
	require.Equal(t, []string{"a/1", "a/2", "b/1", "c/1"}, instances(store))
}

func TestDeparturesAreBounded(t *testing.T) {
	disk := waltest.NewDisk()
	store, err := Open(disk, "/data")
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	store.now = func() time.Time { return now }
	require.NoError(t, store.Save([]*apiv1.BackendServer{departed("old", 1)}))
	now = now.Add(retention + time.Second)
	var many []*apiv1.BackendServer
	for i := range 300 {
		many = append(many, departed(fmt.Sprintf("s%03d", i)+strings.Repeat("x", 10_000), 1))
	}
	require.NoError(t, store.Save(many))
	require.NotContains(t, instances(store), "old/1")
	require.Less(t, len(store.Servers()), maxBytes/10_000+1)
	require.Equal(t, many[299].Instance, store.Servers()[len(store.Servers())-1].Instance, "the newest are kept")
	syncs := disk.Syncs()
	require.NoError(t, store.Save(many))
	require.Equal(t, syncs, disk.Syncs(), "departures beyond the size of the file are not stored again and again")
}

func TestDamagedFileIsReported(t *testing.T) {
	disk := waltest.NewDisk()
	store, err := Open(disk, "/data")
	require.NoError(t, err)
	require.NoError(t, store.Save([]*apiv1.BackendServer{departed("a", 1)}))
	disk.Replace("/data/"+fileName, []byte("garbage that is no record"))
	store, err = Open(disk, "/data")
	require.Error(t, err)
	require.NoError(t, store.Save([]*apiv1.BackendServer{departed("b", 1)}), "the instance goes on with an empty file")
}
