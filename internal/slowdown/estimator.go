package slowdown

import (
	"math"
	"time"
)

const (
	// halfLife is the age at which the last report counts half. Machines that are shared turn slow for some 600 ms at a time;
	// when half of that has passed, one in two of those that turned slow no longer is.
	halfLife = 300 * time.Millisecond
	// memory is the time over which the mean of the reports is taken. It holds more than ten changes of such a machine.
	memory = 10 * time.Second
)

// Estimator estimates the slowdown of a backend server from its reports: the time that work takes there at this moment,
// relative to the usual of its service. It differs between the backend servers of a service for good, and from moment to
// moment. The zero value is that of a backend server that reports none.
type Estimator struct {
	factor float64
	at     time.Time
	// mean is the mean of the reports over the time in which they held, at most the last memory; span is that time.
	mean float64
	span time.Duration
}

// Observe takes in a report. A factor of 0 means that none was reported and changes nothing.
func (e *Estimator) Observe(factor float64, now time.Time) {
	if factor <= 0 {
		return
	}
	if e.factor == 0 {
		e.mean = factor
	} else if passed := min(now.Sub(e.at), halfLife); passed > 0 {
		// Nothing is known of the time beyond halfLife in which there was no report.
		e.span = min(e.span+passed, memory)
		e.mean += (e.factor - e.mean) * float64(passed) / float64(e.span)
	}
	e.factor, e.at = factor, now
}

// Known reports whether the backend server reports its slowdown at all.
func (e *Estimator) Known() bool { return e.factor > 0 }

// Usual returns the mean slowdown of the backend server, 1 if none was reported.
func (e *Estimator) Usual() float64 {
	if e.factor == 0 {
		return 1
	}
	return e.mean
}

// At returns the slowdown that is to be expected at a time: the last report while it is fresh, the mean as it becomes old, and 1
// if none was reported.
func (e *Estimator) At(now time.Time) float64 {
	if e.factor == 0 {
		return 1
	}
	return e.mean + (e.factor-e.mean)*math.Exp2(-float64(max(now.Sub(e.at), 0))/float64(halfLife))
}
