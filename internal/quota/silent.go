package quota

import (
	"time"
)

const (
	// silentFailures is the number of failures in a row after which a node is not asked for silentTime.
	silentFailures = 2
	silentTime     = time.Second
)

// silentNodes remembers which nodes did not answer.
type silentNodes map[string]failures

type failures struct {
	count int
	last  time.Time
}

// failed records a message without an answer.
func (s silentNodes) failed(addr string, now time.Time) {
	s[addr] = failures{s[addr].count + 1, now}
}

// answered records an answer.
func (s silentNodes) answered(addr string) {
	delete(s, addr)
}

// silent reports whether a node should not be asked.
func (s silentNodes) silent(addr string, now time.Time) bool {
	f, failed := s[addr]
	if failed && now.Sub(f.last) >= silentTime {
		delete(s, addr)
		return false
	}
	return f.count >= silentFailures
}
