package balance

import (
	"math"
	"sync/atomic"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/limit"
)

const (
	// defaultSlots is the number of slots of a backend server that announces none.
	defaultSlots = 10
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = 500 * time.Millisecond
	// reportMaxAge is the age at which a reported load is ignored.
	reportMaxAge = 8 * reportHalfLife
	// drainMarkTTL is the time after which a backend server that is marked as draining may get calls again.
	drainMarkTTL = 5 * time.Second
	// minSlowStartWeight is the share of its capacity that a backend server is assumed to have right after its start.
	minSlowStartWeight = 0.1
)

// Load is what a node knows of the load and health of one incarnation of a backend server. It is safe for concurrent
// use.
type Load struct {
	slots   float64
	started time.Time
	limit   *limit.Adaptive
	health  health

	inFlight atomic.Int64
	// otherCalls is the last reported load without this node's own calls, or all slots after a shed call; reportedAt is
	// the time of that answer in Unix nanoseconds.
	otherCalls atomic.Int64
	reportedAt atomic.Int64
	// drainingUntil is the time, in Unix nanoseconds, until which the backend server is marked as draining, 0 for never.
	drainingUntil atomic.Int64
}

// NewLoad returns the load of a backend server of which only the announcement is known.
func NewLoad(info *apiv1.BackendServer) *Load {
	slots := int(info.Slots)
	if slots == 0 {
		slots = defaultSlots
	}
	return &Load{
		slots:   float64(slots),
		started: time.UnixMilli(info.StartedUnixMs),
		limit:   limit.NewAdaptive(slots),
	}
}

// Begin counts a call as in flight and reports true, or reports false when this node's limit of calls in flight is
// reached. After true, End must follow.
func (l *Load) Begin() bool {
	if l.inFlight.Add(1) <= int64(l.limit.Limit()) {
		return true
	}
	l.inFlight.Add(-1)
	return false
}

// End counts a call as no longer in flight.
func (l *Load) End() {
	l.inFlight.Add(-1)
}

// InFlight returns the number of this node's calls in flight.
func (l *Load) InFlight() int {
	return int(l.inFlight.Load())
}

// HasRoom reports whether Begin would succeed.
func (l *Load) HasRoom() bool {
	return l.InFlight() < l.limit.Limit()
}

// Report records the load that a backend server reported with an answer: the number of its running and waiting calls.
func (l *Load) Report(inFlight int, now time.Time) {
	l.otherCalls.Store(max(int64(inFlight)-l.inFlight.Load(), 0))
	l.reportedAt.Store(now.UnixNano())
}

// Served records an answer that shows that the backend server had room.
func (l *Load) Served() {
	l.limit.Served(l.InFlight())
}

// Shed records an answer that shows that the backend server had no room. All its slots then count as occupied by other
// nodes, with the same decay as a report.
func (l *Load) Shed(now time.Time) {
	l.limit.Shed(now)
	l.otherCalls.Store(int64(l.slots))
	l.reportedAt.Store(now.UnixNano())
}

// MarkDraining marks the backend server as draining, because the node beside it reported so. For drainMarkTTL it gets no
// calls from this node, even if the membership does not show it as draining yet.
func (l *Load) MarkDraining(now time.Time) {
	l.drainingUntil.Store(now.Add(drainMarkTTL).UnixNano())
}

// Draining reports whether the backend server is marked as draining.
func (l *Load) Draining(now time.Time) bool {
	until := l.drainingUntil.Load()
	return until != 0 && now.UnixNano() < until
}

// Utilization estimates the share of slots in use. The weight of a report decreases with its age.
func (l *Load) Utilization(now time.Time) float64 {
	return (float64(l.inFlight.Load()) + l.otherCallsNow(now)) / l.slots
}

// otherCallsNow estimates the calls of other nodes from the last report.
func (l *Load) otherCallsNow(now time.Time) float64 {
	otherCalls := l.otherCalls.Load()
	if otherCalls == 0 {
		return 0
	}
	age := time.Duration(now.UnixNano() - l.reportedAt.Load())
	if age >= reportMaxAge {
		return 0
	}
	return float64(otherCalls) * math.Exp2(-float64(max(age, 0))/float64(reportHalfLife))
}

// cost is the measure by which backend servers are compared: the utilization with one more call, raised during slow
// start.
func (l *Load) cost(slowStart time.Duration, now time.Time) float64 {
	return (l.Utilization(now) + 1/l.slots) / l.slowStartWeight(slowStart, now)
}

// slowStartWeight increases linearly with the age of the backend server, from minSlowStartWeight to 1 at the end of slow
// start.
func (l *Load) slowStartWeight(slowStart time.Duration, now time.Time) float64 {
	age := max(now.Sub(l.started), 0)
	if age >= slowStart {
		return 1
	}
	return max(minSlowStartWeight, float64(age)/float64(slowStart))
}
