package local

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

var start = time.UnixMilli(1_700_000_000_000)

func TestLimitNeverPassesTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		breaker, now := NewBreaker(start), start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			share := uint32(rapid.IntRange(0, fullShare).Draw(t, "share"))
			if got := breaker.Limit(now, share); got > share {
				t.Fatalf("limit %d above the share %d", got, share)
			}
			breaker.Record(now, rapid.Bool().Draw(t, "new"), rapid.Bool().Draw(t, "bad"))
		}
	})
}

// drive sends calls at 40 a second and returns how many went to the new version, and when the last one did.
func drive(breaker *Breaker, random *rand.Rand, length time.Duration, share uint32, newRate, oldRate float64) (int, time.Duration) {
	const gap = 25 * time.Millisecond
	calls, last := 0, time.Duration(0)
	for at := time.Duration(0); at < length; at += gap {
		now := start.Add(at)
		ofNew := random.Uint32N(fullShare) < breaker.Limit(now, share)
		rate := oldRate
		if ofNew {
			calls, last = calls+1, at
			rate = newRate
		}
		breaker.Record(now, ofNew, random.Float64() < rate)
	}
	return calls, last
}

func TestBadVersionIsPausedAtOnce(t *testing.T) {
	calls, last := drive(NewBreaker(start), rand.New(rand.NewPCG(1, 1)), 9*time.Second, 1000, 1, 0.001)
	require.Less(t, calls, 15)
	require.Less(t, last, 4*time.Second)
}

func TestBothBadIsNotBlamed(t *testing.T) {
	calls, _ := drive(NewBreaker(start), rand.New(rand.NewPCG(2, 1)), 60*time.Second, 1000, 0.5, 0.5)
	require.Greater(t, calls, 180)
}

func TestGuardDropsTheBreakerOfAnEarlierMove(t *testing.T) {
	guard := NewBreakers()
	service := &apiv1.ServiceConfig{Name: "rota", MoveId: "m1", Shares: []*apiv1.VersionShare{{Version: "v2"}, {Version: "v1"}}}
	now := start
	for range 40 {
		now = now.Add(blockTime)
		guard.Record(now, service, "v2", true)
		guard.Record(now, service, "v1", false)
		guard.Limit(now, service, 500)
	}
	require.Zero(t, guard.Limit(now, service, 500))
	next := &apiv1.ServiceConfig{Name: "rota", MoveId: "m2", Shares: service.Shares}
	require.Equal(t, uint32(500), guard.Limit(now, next, 500))
	require.Equal(t, uint32(500), guard.Limit(now, &apiv1.ServiceConfig{Name: "rota"}, 500))
}
