package node

import "time"

// Timing holds the intervals that a small deployment can set shorter than a large one can afford.
type Timing struct {
	// WatchWait is the longest time that a watch is held open. An unresponsive upstream is detected only after it.
	WatchWait time.Duration
	// StaleAge is the age of an upstream's data from which the node looks for a fresher upstream. The age is the time since
	// the upstream's last contact with a quorum of the control group, direct or through other processes.
	StaleAge time.Duration
	// FloorTimeout bounds the wait for the floor of the configuration version after a start; 0 waits without a bound.
	// After it the node serves with any configuration that it receives, which may be older than the one that it had
	// applied before the start.
	FloorTimeout time.Duration
}

// defaultTiming is meant for a deployment of 920 nodes.
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
