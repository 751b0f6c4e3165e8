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

func TestLimitNeverExceedsTheShare(t *testing.T) {
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

// sendCalls sends 40 calls a second and returns how many went to the new version, and when the last of these was sent.
func sendCalls(breaker *Breaker, random *rand.Rand, length time.Duration, share uint32, newRate, oldRate float64) (int, time.Duration) {
	const gap = 25 * time.Millisecond
	calls, last := 0, time.Duration(0)
	for at := time.Duration(0); at < length; at += gap {
		now := start.Add(at)
		newVersion := random.Uint32N(fullShare) < breaker.Limit(now, share)
		rate := oldRate
		if newVersion {
			calls, last = calls+1, at
			rate = newRate
		}
		breaker.Record(now, newVersion, random.Float64() < rate)
	}
	return calls, last
}

func TestFailingVersionIsPausedWithinSeconds(t *testing.T) {
	calls, last := sendCalls(NewBreaker(start), rand.New(rand.NewPCG(1, 1)), 9*time.Second, 1000, 1, 0.001)
	require.Less(t, calls, 15)
	require.Less(t, last, 4*time.Second)
}

func TestFailureOfBothVersionsDoesNotOpenTheBreaker(t *testing.T) {
	calls, _ := sendCalls(NewBreaker(start), rand.New(rand.NewPCG(2, 1)), 60*time.Second, 1000, 0.5, 0.5)
	require.Greater(t, calls, 180)
}

func TestBreakerOfAnEarlierMoveIsDropped(t *testing.T) {
	breakers := NewBreakers()
	service := &apiv1.ServiceConfig{Name: "rota", MoveId: "m1", Shares: []*apiv1.VersionShare{{Version: "v2"}, {Version: "v1"}}}
	now := start
	for range 40 {
		now = now.Add(minBlockTime)
		breakers.Record(now, service, "v2", true)
		breakers.Record(now, service, "v1", false)
		breakers.Limit(now, service, 500)
	}
	require.Zero(t, breakers.Limit(now, service, 500))
	next := &apiv1.ServiceConfig{Name: "rota", MoveId: "m2", Shares: service.Shares}
	require.Equal(t, uint32(500), breakers.Limit(now, next, 500))
	require.Equal(t, uint32(500), breakers.Limit(now, &apiv1.ServiceConfig{Name: "rota"}, 500))
}
