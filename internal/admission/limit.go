package admission

import (
	"math"
	"time"
)

const (
	// targetPressure is the share of the slots of a service that inner calls occupy or wait for, with the calls that keep their
	// part of the slots beside them. Calls go to the near backend servers first, and to others only when those have long
	// queues, so with a share of 1 the far ones would be idle. With this one an inner call waits for about its own latency.
	targetPressure = 2.0
	// maxPressure is the pressure that counts for an inner call that got no slot, and the highest that counts.
	maxPressure = 4.0
	// pressureWeight is the weight of the latest report in the mean of the pressure. A node makes some tens of inner calls a
	// second, and each gate reports for itself.
	pressureWeight = 0.3
	// pressureHalfLife is the age at which the mean counts half. Without newer reports the service counts as free after some
	// seconds, so a limit does not outlast the inner calls that it is learned from.
	pressureHalfLife = 500 * time.Millisecond
	// limitGain is the relative change of a limit per second and relative distance of the pressure from its target. The
	// pressure follows a limit in proportion, after about half a second (a run, and the mean); a product of both well below
	// 1.5 does not oscillate.
	limitGain = 1.5
	// maxStep bounds the time for which one change of a limit counts.
	maxStep = 100 * time.Millisecond
	// minLimit is the smallest limit, in expected inner calls. It allows about one run in flight.
	minLimit = 1.0
	// freeFactor is the multiple of the expected inner calls of the runs in flight at which a limit that refuses nothing is
	// removed.
	freeFactor = 2.0
)

// limit is the number of expected inner calls to one service that the runs at one gate may have, adapted to the pressure on
// the service. It limits what is in flight and not a rate: when the service becomes slower, runs end later, and fewer begin
// at once, before any report of it.
type limit struct {
	// size is infinite while the service has room.
	size float64
	// pressure is the mean of the reports, reported the time of the last one.
	pressure float64
	reported time.Time
	adapted  time.Time
}

func newLimit() *limit {
	return &limit{size: math.Inf(1)}
}

// report adds the pressure that a gate of the service reported with its answer to an inner call.
func (l *limit) report(pressure float64, now time.Time) {
	current := l.current(now)
	l.pressure = current + pressureWeight*(min(pressure, maxPressure)-current)
	l.reported = now
}

// current returns the pressure at a time.
func (l *limit) current(now time.Time) float64 {
	age := max(now.Sub(l.reported), 0)
	return l.pressure * math.Exp2(-float64(age)/float64(pressureHalfLife))
}

// active reports whether the service is scarce.
func (l *limit) active() bool {
	return !math.IsInf(l.size, 1)
}

// relativeRoom returns the relative distance of the pressure from its target, from -1 to 1; it is positive below the target.
func relativeRoom(pressure float64) float64 {
	return min(max(math.Log(targetPressure/max(pressure, targetPressure/math.E)), -1), 1)
}

// adapt changes the limit by the pressure; committed is the number of expected inner calls of the runs in flight.
func (l *limit) adapt(committed float64, now time.Time) {
	step := min(now.Sub(l.adapted), maxStep)
	if step <= 0 {
		return
	}
	l.adapted = now
	pressure := l.current(now)
	if !l.active() {
		if pressure > targetPressure {
			l.size = max(committed, minLimit)
		}
		return
	}
	l.size = max(l.size*math.Exp(limitGain*relativeRoom(pressure)*step.Seconds()), minLimit)
	if pressure < targetPressure && l.size > freeFactor*max(committed, minLimit) {
		l.size = math.Inf(1)
	}
}
