package slowdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func TestUntoldWordIsOne(t *testing.T) {
	var w Word
	w.Hear(0, epoch)
	require.False(t, w.Told())
	require.Equal(t, 1.0, w.At(epoch))
	require.Equal(t, 1.0, w.Usual())
}

// TestOldWordGivesWayToTheMean lets a backend server that usually takes 1.2 times as long be slow for 600 ms at the end.
func TestOldWordGivesWayToTheMean(t *testing.T) {
	var w Word
	now := epoch
	for range 200 {
		w.Hear(1.2, now)
		now = now.Add(50 * time.Millisecond)
	}
	for range 12 {
		w.Hear(3, now)
		now = now.Add(50 * time.Millisecond)
	}
	w.Hear(3, now)
	require.InDelta(t, 1.3, w.Usual(), 0.05, "600 ms of 10 s")
	require.Equal(t, 3.0, w.At(now))
	require.InDelta(t, 2.15, w.At(now.Add(halfLife)), 0.1)
	require.InDelta(t, w.Usual(), w.At(now.Add(10*halfLife)), 0.01)
}

// TestManyWordsInAMomentCountOnce lets a hundred answers arrive in one slow moment.
func TestManyWordsInAMomentCountOnce(t *testing.T) {
	var w Word
	for i := range 20 {
		w.Hear(1, epoch.Add(time.Duration(i)*100*time.Millisecond))
	}
	slow := epoch.Add(2 * time.Second)
	for range 100 {
		w.Hear(2.5, slow)
	}
	require.InDelta(t, 1, w.Usual(), 0.01)
}
