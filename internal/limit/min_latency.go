package limit

import (
	"sync/atomic"
	"time"
)

// floorWindow is the time over which the shortest duration is kept.
const floorWindow = 10 * time.Second

// MinLatency tracks the shortest duration of a call over the last one to two windows. A call with less time left than
// that cannot be answered in time. It is safe for use by many goroutines; a racing update may lose one sample.
type MinLatency struct {
	current  atomic.Int64
	previous atomic.Int64
	started  atomic.Int64
}

// Observe counts the duration of a call that was answered.
func (f *MinLatency) Observe(duration time.Duration, now time.Time) {
	started := f.started.Load()
	if age := now.UnixNano() - started; age > int64(floorWindow) && f.started.CompareAndSwap(started, now.UnixNano()) {
		f.previous.Store(f.current.Swap(0))
	}
	if shortest := f.current.Load(); shortest == 0 || int64(duration) < shortest {
		f.current.Store(int64(duration))
	}
}

// Value returns the shortest duration seen, 0 when none is known from both windows.
func (f *MinLatency) Value(now time.Time) time.Duration {
	if now.UnixNano()-f.started.Load() > int64(2*floorWindow) {
		return 0
	}
	current, previous := f.current.Load(), f.previous.Load()
	if current == 0 || previous == 0 {
		return 0
	}
	return time.Duration(min(current, previous))
}
