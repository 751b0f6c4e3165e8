package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move/local"
	"samphireflow/internal/routing"
	"samphireflow/internal/state"
)

func movingService(share uint32, newServers, oldServers int) *routing.Service {
	return &routing.Service{
		Config: &apiv1.ServiceConfig{Name: "rota", MoveId: "m", Shares: []*apiv1.VersionShare{
			{Version: "v2", ShareBp: share}, {Version: "v1", ShareBp: state.FullShare - share},
		}},
		Versions: []routing.Version{
			{Name: "v2", ShareBp: share, Local: make([]*routing.Server, newServers)},
			{Name: "v1", ShareBp: state.FullShare - share, Local: make([]*routing.Server, oldServers)},
		},
	}
}

// countNew returns the number of random values, of all possible ones, for which the new version is picked.
func countNew(p *Proxy, service *routing.Service, now time.Time) uint32 {
	count := uint32(0)
	for point := range uint32(state.FullShare) {
		if p.pickVersion(service, point, now).Name == "v2" {
			count++
		}
	}
	return count
}

// TestNewVersionNeverExceedsItsShare checks the share of the new version after arbitrary results of calls, also when either
// version has no backend servers.
func TestNewVersionNeverExceedsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Proxy{breakers: local.NewBreakers()}
		share := uint32(rapid.IntRange(0, state.FullShare).Draw(t, "share"))
		service := movingService(share, rapid.IntRange(0, 2).Draw(t, "new servers"), rapid.IntRange(0, 2).Draw(t, "old servers"))
		now := time.UnixMilli(1_700_000_000_000)
		for range rapid.IntRange(0, 30).Draw(t, "calls") {
			now = now.Add(time.Second)
			p.breakers.Record(now, service.Config, "v2", rapid.Bool().Draw(t, "new bad"))
			p.breakers.Record(now, service.Config, "v1", rapid.Bool().Draw(t, "old bad"))
		}
		if got := countNew(p, service, now); got > share {
			t.Fatalf("the new version gets a share of %d instead of at most %d", got, share)
		}
	})
}

func TestFailingNewVersionIsHeldBackUnlessTheOldOneIsGone(t *testing.T) {
	p := &Proxy{breakers: local.NewBreakers()}
	service, now := movingService(500, 1, 1), time.UnixMilli(1_700_000_000_000)
	for range 60 {
		now = now.Add(300 * time.Millisecond)
		p.breakers.Record(now, service.Config, "v2", true)
		p.breakers.Record(now, service.Config, "v1", false)
		p.pickVersion(service, 0, now)
		if p.breakers.Limit(now, service.Config, 500) == 0 {
			break
		}
	}
	require.Zero(t, countNew(p, service, now))
	require.Equal(t, uint32(500), countNew(p, movingService(500, 1, 0), now))
}
