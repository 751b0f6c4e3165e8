package limit

import (
	"sync/atomic"
	"time"
)

// minLatencyWindow is the length of one of the two windows of a MinLatency.
const minLatencyWindow = 10 * time.Second

// MinLatency tracks the lowest latency of a call over the current and the previous window. A call with less time left
// until its deadline cannot be answered in time. MinLatency is safe for concurrent use; an update that races with another
// may lose one sample.
type MinLatency struct {
	// current and previous hold the lowest latency of a window in nanoseconds, 0 for none.
	current  atomic.Int64
	previous atomic.Int64
	// windowStart is the start of the current window in Unix nanoseconds.
	windowStart atomic.Int64
}

// Observe records the latency of an answered call.
func (m *MinLatency) Observe(latency time.Duration, now time.Time) {
	windowStart := m.windowStart.Load()
	if age := now.UnixNano() - windowStart; age > int64(minLatencyWindow) && m.windowStart.CompareAndSwap(windowStart, now.UnixNano()) {
		m.previous.Store(m.current.Swap(0))
	}
	if lowest := m.current.Load(); lowest == 0 || int64(latency) < lowest {
		m.current.Store(int64(latency))
	}
}

// Value returns the lowest latency. It returns 0 when one of the windows holds no sample, or the current window began
// more than twice minLatencyWindow ago.
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
