package placement

import (
	"slices"
	"time"
)

const (
	// coldSlowdown is the factor by which a backend server is assumed to be slower right after its start.
	coldSlowdown = 2
	// occupancyPenalty is the relative increase of the expected latency when all slots are occupied; it is proportional
	// to the share of occupied slots. The more slots are occupied, the likelier it is that a call of another node takes
	// the last free one first.
	occupancyPenalty = 0.3
	// remoteCost is the additional cost of a backend server in another failure domain. Its unit is the square of the
	// expected latency over the objective; with the usual distribution of latencies, the odds that a call misses its
	// objective are about 0.35 times that square. Of the values 0.15, 0.35 and 0.8 on the users' deployments, 0.35 halved
	// the bytes between failure domains and answered as many calls in time; with 0.8 the callers in the most loaded
	// failure domain were served later on days of low load.
	remoteCost = 0.35
	// pacedCost is the additional cost of a cold backend server whose gate limits the rate of calls, in the unit of
	// remoteCost. The other backend servers take the calls as long as they are expected to keep to the objective: all nodes
	// together may send a cold one only a few calls.
	pacedCost = 1
	// errorCost is the cost of a failed call as a multiple of the value of a call. It is above 1 because retrying the
	// call elsewhere has a cost too.
	errorCost = 2
	// jitter is the width of the random part of the cost. It keeps nodes with the same knowledge from all choosing the
	// same backend server.
	jitter = 0.05
	// defaultLatency is the expected latency of a call while no backend server of the service has answered one.
	defaultLatency = 50 * time.Millisecond
)

// Candidate is a backend server that may take a call.
type Candidate struct {
	Stats *ServerStats
	// Local says that the backend server is in the node's own failure domain.
	Local bool
	// LongResponse says that the call has a long response, which waits for the link of the instance.
	LongResponse bool
	// Tried says that the backend server has already refused the call.
	Tried bool
}

// Choose returns the index of the candidate with the lowest cost, -1 when there is none. Random returns a uniformly
// distributed number from 0 to 1.
//
// Load pattern: the backend servers of one service differ in speed by a factor of three and have few slots, and a node
// knows them only through its own calls. The cost grows with the square of the expected latency over the objective, so a
// call stays in the node's failure domain as long as it is likely to be answered within its objective there.
//
// A backend server to be avoided is chosen only if all candidates are to be avoided. While the others have refused the
// call because they are full, a call that waits for an unreachable one would lose the time in which the others could be
// tried again.
func Choose(candidates []Candidate, objective time.Duration, random func() float64, now time.Time) int {
	snapshots := make([]snapshot, len(candidates))
	for i, candidate := range candidates {
		snapshots[i] = candidate.Stats.snapshot(now)
	}
	serviceMean := serviceMeanLatency(snapshots)
	avoidAll := !slices.ContainsFunc(snapshots, func(s snapshot) bool { return !s.avoid })
	best, bestCost := -1, 0.0
	for i, candidate := range candidates {
		if !candidate.Tried && snapshots[i].avoid == avoidAll {
			expected := snapshots[i].expectedLatency(serviceMean)
			if candidate.LongResponse {
				expected = max(expected, snapshots[i].linkWait)
			}
			relative := expected / float64(max(objective, time.Millisecond))
			cost := relative*relative + errorCost*snapshots[i].errorRate + jitter*random()
			if !candidate.Local {
				cost += remoteCost
			}
			if snapshots[i].paced {
				cost += pacedCost
			}
			if best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
	}
	return best
}

// serviceMeanLatency returns the mean latency over all backend servers that have answered, in nanoseconds.
func serviceMeanLatency(snapshots []snapshot) float64 {
	sum, count := 0.0, 0
	for _, s := range snapshots {
		if s.meanLatency > 0 {
			sum += float64(s.meanLatency)
			count++
		}
	}
	if count == 0 {
		return float64(defaultLatency)
	}
	return sum / float64(count)
}

// expectedLatency returns the expected latency of a call at the backend server in nanoseconds, with the wait for a slot.
// ServiceMean is the mean over all backend servers of the service; it replaces the backend server's own mean as that
// becomes old.
func (s snapshot) expectedLatency(serviceMean float64) float64 {
	mean := serviceMean
	if s.meanLatency > 0 {
		weight := decay(s.meanLatencyAge, statsHalfLife)
		mean = float64(s.meanLatency)*weight + serviceMean*(1-weight)
	}
	utilization := s.occupied / s.slots
	queued := max(s.occupied+1-s.slots, 0) / s.slots
	return mean * s.slowdown * (1 + queued + occupancyPenalty*min(utilization, 1))
}
