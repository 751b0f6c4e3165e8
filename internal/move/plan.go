package move

import (
	"math"
	"time"
)

const (
	// fullShare is the whole of a service's calls, in basis points.
	fullShare = 10000
	// lastTestShare is the share of the last stage at which both versions have calls, in basis points.
	lastTestShare = 5000
	// largestFirstShare bounds what an operator may ask for as the first share, in basis points.
	largestFirstShare = 2500
	// testStages is the number of stages before the whole one.
	testStages = 4
)

// stageEnds says which part of the time to the deadline has passed when each stage is planned to end. The last stages
// are the longest: at a small share few calls tell anything.
var stageEnds = [testStages]float64{0.10, 0.22, 0.42, 0.62}

// plan is the schedule of a move.
type plan struct {
	started  time.Time
	deadline time.Time
	shares   [testStages + 1]uint32
}

func newPlan(started, deadline time.Time, firstShare uint32) plan {
	p := plan{started: started, deadline: deadline}
	first := float64(min(max(firstShare, 1), largestFirstShare))
	growth := math.Pow(lastTestShare/first, 1.0/(testStages-1))
	for i := range testStages {
		p.shares[i] = uint32(math.Round(first * math.Pow(growth, float64(i))))
	}
	p.shares[testStages] = fullShare
	return p
}

// length is the time that the move has.
func (p plan) length() time.Duration {
	return max(p.deadline.Sub(p.started), time.Second)
}

// stageEnd is when a stage is planned to end.
func (p plan) stageEnd(stage int) time.Time {
	part := stageEnds[min(stage, testStages-1)]
	return p.started.Add(time.Duration(part * float64(p.length())))
}

// expectedCalls is the count of calls that the new version gets by plan until the last call, at a rate of calls a second.
func (p plan) expectedCalls(perSecond float64) float64 {
	calls, begin := 0.0, p.started
	for stage := range testStages {
		end := p.stageEnd(stage)
		if stage == testStages-1 {
			end = p.lastCall()
		}
		calls += perSecond * end.Sub(begin).Seconds() * float64(p.shares[stage]) / fullShare
		begin = end
	}
	return calls
}

// shortestStage is the shortest time in a stage, also of a move that is late.
func (p plan) shortestStage() time.Duration {
	const part = 50
	return min(max(p.length()/part, time.Second), 10*time.Second)
}

// lastCall is when the move must be whole or end, so that nodes have applied it by the deadline.
func (p plan) lastCall() time.Time {
	const part, longest = 20, 10 * time.Second
	return p.deadline.Add(-min(p.length()/part, longest))
}
