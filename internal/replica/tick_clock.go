package replica

import "time"

// tickHistoryLength is the number of past ticks whose times a tickClock keeps.
const tickHistoryLength = 256

// tickClock maps the Raft node's ticks to times. The node counts only ticks, which stop while the process is paused;
// with times, a pause counts towards the age of the last contact.
type tickClock struct {
	times  [tickHistoryLength]time.Time
	tick   uint64
	latest time.Time
}

func newTickClock(now time.Time) *tickClock {
	clock := &tickClock{}
	clock.record(0, now)
	return clock
}

// record stores the time of a tick.
func (c *tickClock) record(tick uint64, now time.Time) {
	c.tick = tick
	c.times[tick%tickHistoryLength] = now
}

// timeOf returns the time of a tick. It never returns an earlier time than the call before: for an older tick, or one
// whose time is no longer kept, it returns the same time as that call.
func (c *tickClock) timeOf(tick uint64) time.Time {
	if tick+tickHistoryLength <= c.tick {
		return c.latest
	}
	if at := c.times[tick%tickHistoryLength]; at.After(c.latest) {
		c.latest = at
	}
	return c.latest
}
