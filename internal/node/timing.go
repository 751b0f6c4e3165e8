package node

import "time"

// Timing holds the times that a deployment may want shorter than a large one can afford.
type Timing struct {
	// WatchWait is the longest time that a watch is held open. A sender that falls silent is noticed after it.
	WatchWait time.Duration
	// StaleAge is the age of a sender's word above which the node looks for one that has heard more.
	StaleAge time.Duration
	// FloorTimeout bounds the wait for the floor of the version after a start; 0 waits without a bound. After it the
	// node serves by what it can get, which may be older than what it had applied before the start.
	FloorTimeout time.Duration
}

// defaultTiming suits 920 nodes.
var defaultTiming = Timing{WatchWait: 10 * time.Second, StaleAge: 6 * time.Second}

func (t Timing) withDefaults() Timing {
	if t.WatchWait <= 0 {
		t.WatchWait = defaultTiming.WatchWait
	}
	if t.StaleAge <= 0 {
		t.StaleAge = defaultTiming.StaleAge
	}
	return t
}
