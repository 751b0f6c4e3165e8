package control

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/departures"
	"samphireflow/internal/state"
	"samphireflow/internal/waltest"
)

// slowSyncs is a disk whose folder takes syncTime to sync.
type slowSyncs struct{ *waltest.Disk }

const syncTime = 5 * time.Millisecond

func (d slowSyncs) SyncDir(dir string) error {
	time.Sleep(syncTime)
	return d.Disk.SyncDir(dir)
}

// newStoringServer returns a control instance that stores departures.
func newStoringServer(t *testing.T, disk *waltest.Disk) *Server {
	stored, err := departures.Open(slowSyncs{disk}, "/data")
	require.NoError(t, err)
	return New(Options{Instance: "c0", Log: &fakeLog{}, Machine: state.NewMachine(), Departures: stored, Logger: zerolog.Nop()})
}

func leavingServer(instance string) *apiv1.BackendServer {
	return &apiv1.BackendServer{Instance: instance, Incarnation: 1, Leaving: true, State: apiv1.ServerState_SERVER_STATE_DRAINING, Addr: "127.0.0.1:2"}
}

// storedInstances returns the instances whose departures are on a disk.
func storedInstances(t *testing.T, disk *waltest.Disk) map[string]bool {
	stored, err := departures.Open(disk, "/data")
	require.NoError(t, err)
	instances := map[string]bool{}
	for _, server := range stored.Servers() {
		instances[server.Instance] = true
	}
	return instances
}

// TestManyDeparturesAtOnceAreFewWrites guards the disk of a control instance when hundreds of backend servers leave at once in a
// roll-out.
func TestManyDeparturesAtOnceAreFewWrites(t *testing.T) {
	disk := waltest.NewDisk()
	s := newStoringServer(t, disk)
	before := disk.Syncs()
	const leaving = 300
	var renewing sync.WaitGroup
	for i := range leaving {
		renewing.Go(func() {
			response, err := membershipService{s}.Renew(context.Background(), &apiv1.RenewRequest{StoresDrains: true, Servers: []*apiv1.BackendServer{leavingServer(fmt.Sprint("s", i))}})
			if err != nil || response.DrainNotStored {
				t.Errorf("not stored: %v", err)
			}
		})
	}
	renewing.Wait()
	require.Len(t, storedInstances(t, disk), leaving)
	require.Less(t, disk.Syncs()-before, leaving/5)
}

// TestNewestDepartureIsInTheFile guards against a departure that counts as stored and is left out of a file at its bound.
func TestNewestDepartureIsInTheFile(t *testing.T) {
	disk := waltest.NewDisk()
	s := newStoringServer(t, disk)
	var many []*apiv1.BackendServer
	for i := range 6000 {
		many = append(many, leavingServer(strings.Repeat("x", 200)+fmt.Sprint(i)))
	}
	s.members.Merge("c9", nil, many, time.Now())
	for i := range 5 {
		name := fmt.Sprint("s", i)
		response, err := membershipService{s}.Renew(context.Background(), &apiv1.RenewRequest{StoresDrains: true, Servers: []*apiv1.BackendServer{leavingServer(name)}})
		require.NoError(t, err)
		require.False(t, response.DrainNotStored)
		require.True(t, storedInstances(t, disk)[name])
	}
}
