package placement

import (
	"math"
	"sync"
	"time"

	"samphireflow/internal/calls"
	"samphireflow/internal/slowdown"
)

const (
	// reportHalfLife is the age at which a gate's report of the calls of other nodes counts half.
	reportHalfLife = 400 * time.Millisecond
	// otherCallsWeight is the weight of the latest report in the moving average of the calls of other nodes.
	otherCallsWeight = 0.05
	// latencyWeight is the weight of the latest call in the moving average of a backend server's latency.
	latencyWeight = 0.1
	// statsHalfLife is the age at which a moving average that no call has updated counts half. The mean over all backend
	// servers takes the place of an old latency, and an old error rate falls to zero. So a backend server that was slow
	// or failing gets calls again.
	statsHalfLife = 4 * time.Second
	// errorWeight is the weight of the latest call in the moving average of the error rate.
	errorWeight = 0.08
	// unreachableBackoff is the time for which a backend server is avoided after its node could not be reached. It
	// doubles with each further failure, up to maxUnreachableBackoff. After it one call probes the backend server, and
	// other calls avoid it for another probeTime.
	unreachableBackoff    = 400 * time.Millisecond
	maxUnreachableBackoff = 2 * time.Second
	probeTime             = 200 * time.Millisecond
	// drainingBackoff is the time for which a backend server is avoided after it refused a call as draining or as
	// misdirected. By the end of it the membership shows the change.
	drainingBackoff = 3 * time.Second
	// evacuatedBackoff is the time for which a backend server is avoided after its gate refused a call because of an
	// evacuation that this node does not know, or no longer. By the end of it the configuration shows the change.
	evacuatedBackoff = time.Second
	// minColdBackoff and maxColdBackoff bound the time for which a cold backend server is avoided after it refused a call.
	// Its gate says when it can take the next one, but all nodes wait for that.
	minColdBackoff = 100 * time.Millisecond
	maxColdBackoff = time.Second
)

// ServerStats holds what a node knows of one incarnation of a backend server. It is safe for concurrent use.
type ServerStats struct {
	mu    sync.Mutex
	slots int
	// coldUntil is the end of the time in which the backend server is cold.
	coldUntil time.Time
	// coldRate is the number of calls per second that the backend server can take while it is cold, 0 for no limit.
	coldRate float64
	// ownCalls is the number of this node's calls in flight.
	ownCalls int
	// otherCalls is the number of running and waiting calls of other nodes that the gate reported at reportedAt.
	otherCalls int
	reportedAt time.Time
	// meanOtherCalls is the moving average of otherCalls over the reports of a backend server that tells its slowdown.
	meanOtherCalls float64
	// linkWait is the time that the gate reported at reportedAt for the link of its instance.
	linkWait time.Duration
	// meanLatency is the moving average of the latency of calls without an error, 0 before the first; meanLatencyAt is
	// the time of its last update.
	meanLatency   time.Duration
	meanLatencyAt time.Time
	// machine estimates the slowdown of the backend server's machine. meanSlowdown is the moving average of the slowdown over the
	// calls of meanLatency, 0 if none was told.
	machine      slowdown.Estimator
	meanSlowdown float64
	// errorRate is the moving average of the share of failed and shed calls; errorRateAt is the time of its last update.
	errorRate   float64
	errorRateAt time.Time

	// avoidUntil is the time until which calls avoid the backend server.
	avoidUntil time.Time
	// unreachableInRow counts the calls that could not reach the node since the gate last reported its load.
	unreachableInRow int
}

// NewServerStats returns the statistics of a backend server of which only the announcement is known.
func NewServerStats(slots int, coldUntil time.Time) *ServerStats {
	return &ServerStats{slots: max(slots, 1), coldUntil: coldUntil}
}

// MarkCold records that the backend server is cold until a time.
func (s *ServerStats) MarkCold(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// SetColdRate sets the number of calls per second that the backend server can take while it is cold, 0 for no limit.
func (s *ServerStats) SetColdRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldRate = rate
}

// Begin counts a call that is sent to the backend server. End must follow.
func (s *ServerStats) Begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownCalls++
	if s.unreachableInRow > 0 && !now.Before(s.avoidUntil) {
		s.avoidUntil = now.Add(probeTime)
	}
}

// End records the result of a call that Begin counted.
func (s *ServerStats) End(result *calls.Result, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownCalls--
	if result.Load != nil {
		s.otherCalls = max(result.Load.Running+result.Load.Waiting-s.ownCalls, 0)
		s.reportedAt = now
		s.linkWait = result.Load.LinkWait
		s.machine.Observe(result.Load.Slowdown, now)
		if s.machine.Known() {
			s.meanOtherCalls += otherCallsWeight * (float64(s.otherCalls) - s.meanOtherCalls)
		}
		if s.unreachableInRow > 0 {
			s.unreachableInRow = 0
			s.avoidUntil = now
		}
	}
	if result.Reason == calls.ReasonSilent {
		s.avoidUnreachable(now)
		return
	}
	switch result.Outcome {
	case calls.Answered:
		s.answered(result, now)
	case calls.NotRun:
		s.refused(result, now)
	case calls.Unknown:
		s.errorRate += errorWeight * (1 - s.errorRate)
		s.errorRateAt = now
	}
}

// avoidUnreachable makes calls avoid the backend server for longer with each call in a row that could not reach its gate or
// got no answer from it.
//
// Load pattern: the link of a node is full, so that no answer leaves it in time. Its backend server looks idle, as only
// calls in flight and reports of load count, and gets the calls of all nodes, which keep the link full.
func (s *ServerStats) avoidUnreachable(now time.Time) {
	s.avoidUntil = now.Add(min(unreachableBackoff<<min(s.unreachableInRow, 8), maxUnreachableBackoff))
	s.unreachableInRow++
}

func (s *ServerStats) answered(result *calls.Result, now time.Time) {
	if result.Reason == calls.ReasonInnerFailed {
		return
	}
	if result.Response.Status >= 500 {
		s.errorRate += errorWeight * (1 - s.errorRate)
		s.errorRateAt = now
		return
	}
	s.errorRate -= errorWeight * s.errorRate
	s.errorRateAt = now
	if s.meanLatency == 0 {
		s.meanLatency = result.Latency
	} else {
		s.meanLatency += time.Duration(latencyWeight * float64(result.Latency-s.meanLatency))
	}
	if s.meanSlowdown == 0 && s.machine.Known() {
		s.meanSlowdown = s.machine.At(now)
	} else if s.machine.Known() {
		s.meanSlowdown += latencyWeight * (s.machine.At(now) - s.meanSlowdown)
	}
	s.meanLatencyAt = now
}

func (s *ServerStats) refused(result *calls.Result, now time.Time) {
	switch result.Reason {
	case calls.ReasonDraining, calls.ReasonMisdirected:
		s.avoidUntil = now.Add(drainingBackoff)
	case calls.ReasonEvacuated:
		s.avoidUntil = now.Add(evacuatedBackoff)
	case calls.ReasonCold:
		s.avoidUntil = now.Add(min(max(result.RetryAfter, minColdBackoff), maxColdBackoff))
	case calls.ReasonUnreachable:
		s.avoidUnreachable(now)
	case calls.ReasonShed:
		s.errorRate += errorWeight * (1 - s.errorRate)
		s.errorRateAt = now
	}
}

// snapshot holds the statistics of a backend server at one time.
type snapshot struct {
	// slots is the number of slots, reduced while the backend server is cold.
	slots float64
	// occupied estimates the number of running and waiting calls of all nodes.
	occupied float64
	// meanLatency is the mean latency of calls, divided by their mean slowdown if the backend server tells it. Slowdown is
	// the one to be expected now, 1 if none is told.
	meanLatency time.Duration
	slowdown    float64
	// linkWait is the time that the link of the instance takes for the long responses that are promised, in nanoseconds.
	linkWait float64
	// meanLatencyAge is the time since the last update of meanLatency.
	meanLatencyAge time.Duration
	errorRate      float64
	// avoid says that calls should go to other backend servers.
	avoid bool
	// paced says that the backend server is cold and its gate limits the rate of calls.
	paced bool
}

// snapshot returns the statistics with the weights that they have at a time.
func (s *ServerStats) snapshot(now time.Time) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := snapshot{slots: float64(s.slots), occupied: float64(s.ownCalls), meanLatency: s.meanLatency, slowdown: s.machine.At(now), avoid: now.Before(s.avoidUntil)}
	if s.meanSlowdown > 0 {
		snap.meanLatency = time.Duration(float64(s.meanLatency) / s.meanSlowdown)
	}
	if now.Before(s.coldUntil) {
		snap.slots /= coldSlowdown
		snap.paced = s.coldRate > 0
	}
	snap.occupied += s.meanOtherCalls + (float64(s.otherCalls)-s.meanOtherCalls)*decay(now.Sub(s.reportedAt), reportHalfLife)
	snap.linkWait = float64(s.linkWait) * decay(now.Sub(s.reportedAt), reportHalfLife)
	snap.meanLatencyAge = now.Sub(s.meanLatencyAt)
	snap.errorRate = s.errorRate * decay(now.Sub(s.errorRateAt), statsHalfLife)
	return snap
}

// decay returns the weight of a value by its age: 1 for a new value, half as much after each half-life.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
