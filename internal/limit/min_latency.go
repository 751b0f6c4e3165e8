package limit

import (
	"sync/atomic"
	"time"
)

// minLatencyWindow is the length of one of the two windows of a MinLatency.
const minLatencyWindow = 10 * time.Second

// MinLatency tracks the shortest duration of a call over the current and the previous window. A call with less time
// left until its deadline cannot be answered in time. It is safe for concurrent use; an update that races with another
// may lose one sample.
type MinLatency struct {
	// current and previous hold the shortest duration of a window in nanoseconds, 0 for none.
	current  atomic.Int64
	previous atomic.Int64
	// windowStart is the start of the current window in Unix nanoseconds.
	windowStart atomic.Int64
}

// Observe records the duration of an answered call.
func (m *MinLatency) Observe(duration time.Duration, now time.Time) {
	windowStart := m.windowStart.Load()
	if age := now.UnixNano() - windowStart; age > int64(minLatencyWindow) && m.windowStart.CompareAndSwap(windowStart, now.UnixNano()) {
		m.previous.Store(m.current.Swap(0))
	}
	if shortest := m.current.Load(); shortest == 0 || int64(duration) < shortest {
		m.current.Store(int64(duration))
	}
}

// Value returns the shortest duration. It returns 0 unless both windows hold a sample, and once the current window began
// more than two windows ago.
func (m *MinLatency) Value(now time.Time) time.Duration {
	if now.UnixNano()-m.windowStart.Load() > int64(2*minLatencyWindow) {
		return 0
	}
	current, previous := m.current.Load(), m.previous.Load()
	if current == 0 || previous == 0 {
		return 0
	}
	return time.Duration(min(current, previous))
}
