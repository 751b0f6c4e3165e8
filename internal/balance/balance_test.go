package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

var (
	start  = time.Unix(1000, 0)
	policy = &Policy{SpillThreshold: 0.8, SlowStart: 10 * time.Second, EjectErrorRate: 0.5, EjectMaxShare: 0.5, EjectTime: 10 * time.Second}
)

func servers(prefix string, n int, age time.Duration) []*Server {
	list := make([]*Server, n)
	for i := range list {
		info := &apiv1.BackendServer{Instance: fmt.Sprint(prefix, i), Slots: 10, StartedUnixMs: start.Add(-age).UnixMilli()}
		list[i] = &Server{Info: info, Load: NewLoad(info)}
	}
	return list
}

func picker(seed uint64) *Picker {
	random := rand.New(rand.NewPCG(seed, seed))
	return &Picker{Policy: policy, Random: random.IntN, Now: start}
}

func TestPickSpillsToRemoteAboveThreshold(t *testing.T) {
	local, remote := servers("l", 2, time.Hour), servers("r", 2, time.Hour)
	p := picker(1)
	counts := map[byte]int{}
	for range 30 {
		server := p.Pick(local, remote)
		require.True(t, server.Load.Begin())
		counts[server.Info.Instance[0]]++
	}
	require.Equal(t, 30, counts['l']+counts['r'])
	require.GreaterOrEqual(t, counts['l'], 16, "local up to the threshold")
	require.Greater(t, counts['r'], 5, "then remote")
}

func TestPickAvoidsServerInSlowStart(t *testing.T) {
	cold, warm := servers("c", 1, time.Second), servers("w", 1, time.Hour)
	p := picker(2)
	coldCalls := 0
	for range 8 {
		server := p.Pick(append(cold, warm...), nil)
		require.True(t, server.Load.Begin())
		if server == cold[0] {
			coldCalls++
		}
	}
	require.LessOrEqual(t, coldCalls, 1)
}

func TestReportedLoadDecays(t *testing.T) {
	load := servers("a", 1, time.Hour)[0].Load
	load.Report(8, start)
	require.InDelta(t, 0.8, load.Utilization(start), 0.01)
	require.InDelta(t, 0.4, load.Utilization(start.Add(reportHalfLife)), 0.01)
	require.Zero(t, load.Utilization(start.Add(reportMaxAge)))
}

func TestEjectedShareStaysWithinMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "servers")
		all := servers("s", n, time.Hour)
		split := rapid.IntRange(0, n).Draw(t, "split")
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			server := all[rapid.IntRange(0, n-1).Draw(t, "server")]
			outlier := server.Load.Observe(Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), policy.EjectErrorRate, now)
			if outlier && policy.MayEject(all[:split], all[split:], now) {
				server.Load.Eject(policy.EjectTime, now)
			}
			ejected := 0
			for _, s := range all {
				if s.Load.Ejected(now) {
					ejected++
				}
			}
			require.LessOrEqual(t, float64(ejected), policy.EjectMaxShare*float64(n))
		}
	})
}

func TestOutlierIsEjectedAndReadmitted(t *testing.T) {
	all := servers("s", 2, time.Hour)
	for range maxBrokenInRow - 1 {
		require.False(t, all[0].Load.Observe(OutcomeBroken, 0.5, start))
	}
	require.True(t, all[0].Load.Observe(OutcomeBroken, 0.5, start))
	all[0].Load.Eject(policy.EjectTime, start)
	p := picker(3)
	for range 20 {
		require.Equal(t, all[1], p.Pick(all, nil))
	}
	require.False(t, all[0].Load.Ejected(start.Add(policy.EjectTime)))
}
