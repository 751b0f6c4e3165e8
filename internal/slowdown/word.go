package slowdown

import (
	"math"
	"time"
)

const (
	// halfLife is the age at which the last word counts half. Machines that are shared turn slow for some 600 ms at a time;
	// a word is as old as half of that when one in two of those that turned slow no longer is.
	halfLife = 300 * time.Millisecond
	// memory is the time over which the mean of the words is taken. It holds more than ten changes of such a machine.
	memory = 10 * time.Second
)

// Word is what a backend server last told of its slowdown: the time that work takes there at this moment, relative to the
// usual of its service. It differs between the backend servers of a service for good, and from moment to moment. The zero
// value is that of a backend server that tells none.
type Word struct {
	factor float64
	at     time.Time
	// mean is the mean of the words over the time in which they held, at most the last memory; span is that time.
	mean float64
	span time.Duration
}

// Hear replaces the word. A factor of 0 means that none was told and leaves the word as it is.
func (w *Word) Hear(factor float64, now time.Time) {
	if factor <= 0 {
		return
	}
	if w.factor == 0 {
		w.mean = factor
	} else if passed := min(now.Sub(w.at), halfLife); passed > 0 {
		// Nothing is known of the time beyond halfLife in which nothing was heard.
		w.span = min(w.span+passed, memory)
		w.mean += (w.factor - w.mean) * float64(passed) / float64(w.span)
	}
	w.factor, w.at = factor, now
}

// Told reports whether the backend server tells its slowdown at all.
func (w *Word) Told() bool { return w.factor > 0 }

// Usual returns the mean slowdown of the backend server, 1 if none was told.
func (w *Word) Usual() float64 {
	if w.factor == 0 {
		return 1
	}
	return w.mean
}

// At returns the slowdown that is to be expected at a time: the word while it is fresh, the mean as it becomes old, and 1 if
// none was told.
func (w *Word) At(now time.Time) float64 {
	if w.factor == 0 {
		return 1
	}
	return w.mean + (w.factor-w.mean)*math.Exp2(-float64(max(now.Sub(w.at), 0))/float64(halfLife))
}
