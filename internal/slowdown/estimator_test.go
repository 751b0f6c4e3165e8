package slowdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func TestSlowdownWithoutReportsIsOne(t *testing.T) {
	var e Estimator
	e.Observe(0, epoch)
	require.False(t, e.Known())
	require.Equal(t, 1.0, e.At(epoch))
	require.Equal(t, 1.0, e.Usual())
}

// TestOldReportGivesWayToTheMean lets a backend server that usually takes 1.2 times as long be slow for 600 ms at the end.
func TestOldReportGivesWayToTheMean(t *testing.T) {
	var e Estimator
	now := epoch
	for range 200 {
		e.Observe(1.2, now)
		now = now.Add(50 * time.Millisecond)
	}
	for range 12 {
		e.Observe(3, now)
		now = now.Add(50 * time.Millisecond)
	}
	e.Observe(3, now)
	require.InDelta(t, 1.3, e.Usual(), 0.05, "600 ms of 10 s")
	require.Equal(t, 3.0, e.At(now))
	require.InDelta(t, 2.15, e.At(now.Add(halfLife)), 0.1)
	require.InDelta(t, e.Usual(), e.At(now.Add(10*halfLife)), 0.01)
}

// TestManyReportsInAMomentCountOnce lets a hundred answers arrive in one slow moment.
func TestManyReportsInAMomentCountOnce(t *testing.T) {
	var e Estimator
	for i := range 20 {
		e.Observe(1, epoch.Add(time.Duration(i)*100*time.Millisecond))
	}
	slow := epoch.Add(2 * time.Second)
	for range 100 {
		e.Observe(2.5, slow)
	}
	require.InDelta(t, 1, e.Usual(), 0.01)
}
