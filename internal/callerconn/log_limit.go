package callerconn

import (
	"sync"
	"time"
)

// logInterval is the shortest time between two log lines about requests that cannot be read.
const logInterval = 100 * time.Millisecond

// logLimit bounds the rate of a log line.
type logLimit struct {
	mu      sync.Mutex
	last    time.Time
	omitted int
}

// next reports whether a line may be logged now, and the number of lines that were omitted before it.
func (l *logLimit) next(now time.Time) (omitted int, may bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < logInterval {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted, l.last = l.omitted, 0, now
	return omitted, true
}
