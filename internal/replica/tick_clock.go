package replica

import "time"

// tickClockLength is how many ticks back a tickClock remembers.
const tickClockLength = 256

// tickClock maps the node's ticks to times, so that a pause of the process counts towards the age of a contact.
type tickClock struct {
	times [tickClockLength]time.Time
	tick  uint64
	last  time.Time
}

func newTickClock(now time.Time) *tickClock {
	clock := &tickClock{}
	clock.note(0, now)
	return clock
}

func (c *tickClock) note(tick uint64, now time.Time) {
	c.tick = tick
	c.times[tick%tickClockLength] = now
}

// at returns when a tick was. It never goes back, and stays where it is for a tick that is forgotten.
func (c *tickClock) at(tick uint64) time.Time {
	if tick+tickClockLength <= c.tick {
		return c.last
	}
	if at := c.times[tick%tickClockLength]; at.After(c.last) {
		c.last = at
	}
	return c.last
}
