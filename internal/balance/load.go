package balance

import (
	"math"
	"sync/atomic"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/limit"
)

const (
	// defaultSlots stands for backend servers that announce no number of slots.
	defaultSlots = 10
	// reportHalfLife is the time after which a reported load counts half.
	reportHalfLife = 500 * time.Millisecond
	// reportMemory is the time after which a reported load counts nothing.
	reportMemory = 8 * reportHalfLife
	// leaveMemory is the time after which a draining backend server is asked again.
	leaveMemory = 5 * time.Second
	// leastWarmth is the share of its capacity that a backend server counts with right after its start.
	leastWarmth = 0.1
)

// Load is what a node knows of the load and health of one start of a backend server. All methods may be called from
// any goroutine.
type Load struct {
	slots   float64
	started time.Time
	limit   *limit.Adaptive
	health  health

	inFlight atomic.Int64
	// others is the reported load without this node's own calls, at the time otherAt in Unix nanoseconds.
	others  atomic.Int64
	otherAt atomic.Int64
	// leaving is the end of the time, in Unix nanoseconds, for which the backend server is taken to drain.
	leaving atomic.Int64
}

// NewLoad returns the load of a backend server that nothing is known about but its announcement.
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

// Begin takes room for a call. It reports false when the limit of this node's calls in flight is reached. End gives
// the room back.
func (l *Load) Begin() bool {
	if l.inFlight.Add(1) <= int64(l.limit.Limit()) {
		return true
	}
	l.inFlight.Add(-1)
	return false
}

// End gives the room of a call back.
func (l *Load) End() {
	l.inFlight.Add(-1)
}

// InFlight returns this node's calls that have not ended.
func (l *Load) InFlight() int {
	return int(l.inFlight.Load())
}

// HasRoom reports whether Begin would succeed.
func (l *Load) HasRoom() bool {
	return l.InFlight() < l.limit.Limit()
}

// Report takes the load that a backend server reported on an answer: its calls running and waiting.
func (l *Load) Report(inFlight int, now time.Time) {
	l.others.Store(max(int64(inFlight)-l.inFlight.Load(), 0))
	l.otherAt.Store(now.UnixNano())
}

// Served counts an answer that shows that the backend server had room.
func (l *Load) Served() {
	l.limit.Served(l.InFlight())
}

// Shed counts an answer that shows that the backend server had no room.
func (l *Load) Shed(now time.Time) {
	l.limit.Shed(now)
	l.others.Store(int64(l.slots))
	l.otherAt.Store(now.UnixNano())
}

// MarkDraining marks a backend server that the node beside it says is draining, so that it gets no calls from this node for
// a while, even when the membership does not say so yet.
func (l *Load) MarkDraining(now time.Time) {
	l.leaving.Store(now.Add(leaveMemory).UnixNano())
}

// Draining reports whether the backend server is marked as draining.
func (l *Load) Draining(now time.Time) bool {
	until := l.leaving.Load()
	return until != 0 && now.UnixNano() < until
}

// Utilization estimates the share of slots in use. A report counts less the older it is.
func (l *Load) Utilization(now time.Time) float64 {
	return (float64(l.inFlight.Load()) + l.reported(now)) / l.slots
}

func (l *Load) reported(now time.Time) float64 {
	others := l.others.Load()
	if others == 0 {
		return 0
	}
	age := time.Duration(now.UnixNano() - l.otherAt.Load())
	if age >= reportMemory {
		return 0
	}
	return float64(others) * math.Exp2(-float64(max(age, 0))/float64(reportHalfLife))
}

// cost compares backend servers: the utilisation that one more call would lead to, higher while it is cold.
func (l *Load) cost(slowStart time.Duration, now time.Time) float64 {
	return (l.Utilization(now) + 1/l.slots) / l.warmth(slowStart, now)
}

// warmth rises evenly from leastWarmth to 1 over the slow start.
func (l *Load) warmth(slowStart time.Duration, now time.Time) float64 {
	age := max(now.Sub(l.started), 0)
	if age >= slowStart {
		return 1
	}
	return max(leastWarmth, float64(age)/float64(slowStart))
}
