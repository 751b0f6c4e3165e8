package move

import (
	"math"
	"time"
)

const (
	// fullShare is all calls of a service, in basis points.
	fullShare = 10000
	// lastPartialShare is the share of the new version at the last partial stage, in basis points.
	lastPartialShare = 5000
	// maxFirstShare limits the first share that an operator may set, in basis points.
	maxFirstShare = 2500
	// partialStages is the number of stages before the one at full share.
	partialStages = 4
)

// stageEnds is the planned end of each partial stage, as a fraction of the time from the start to the deadline. The later
// stages are longer, because a larger share yields more calls of the new version to test in the same time.
var stageEnds = [partialStages]float64{0.10, 0.22, 0.42, 0.62}

// plan is the schedule of a move.
type plan struct {
	started  time.Time
	deadline time.Time
	// shares holds the share of the new version at each stage, in basis points.
	shares [partialStages + 1]uint32
}

func newPlan(started, deadline time.Time, firstShare uint32) plan {
	p := plan{started: started, deadline: deadline}
	first := float64(min(max(firstShare, 1), maxFirstShare))
	growth := math.Pow(lastPartialShare/first, 1.0/(partialStages-1))
	for i := range partialStages {
		p.shares[i] = uint32(math.Round(first * math.Pow(growth, float64(i))))
	}
	p.shares[partialStages] = fullShare
	return p
}

// duration is the time from the start to the deadline, at least one second.
func (p plan) duration() time.Duration {
	return max(p.deadline.Sub(p.started), time.Second)
}

// stageEnd returns when a partial stage is planned to end.
func (p plan) stageEnd(stage int) time.Time {
	part := stageEnds[min(stage, partialStages-1)]
	return p.started.Add(time.Duration(part * float64(p.duration())))
}

// expectedCalls returns the number of calls that the plan gives the new version until the cutoff, at a rate of calls per
// second.
func (p plan) expectedCalls(perSecond float64) float64 {
	calls, begin := 0.0, p.started
	for stage := range partialStages {
		end := p.stageEnd(stage)
		if stage == partialStages-1 {
			end = p.cutoff()
		}
		calls += perSecond * end.Sub(begin).Seconds() * float64(p.shares[stage]) / fullShare
		begin = end
	}
	return calls
}

// minStageTime returns the shortest time in a stage, which also holds for a move behind its plan.
func (p plan) minStageTime() time.Duration {
	const part = 50
	return min(max(p.duration()/part, time.Second), 10*time.Second)
}

// cutoff returns when the move must go to the full share or end, so that the nodes apply this by the deadline.
func (p plan) cutoff() time.Time {
	const part, longest = 20, 10 * time.Second
	return p.deadline.Add(-min(p.duration()/part, longest))
}
