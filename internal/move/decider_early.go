package move

import (
	"math"
)

// expectsFewCalls reports whether the planned stages would give the new version too few calls to pass the
// non-inferiority tests.
func (d *decider) expectsFewCalls() bool {
	j := d.judge
	elapsed := d.now.Sub(j.firstCall).Seconds()
	if j.allCalls == 0 || elapsed < minRateTime.Seconds() {
		return false
	}
	needed := -math.Log(missRate) / j.errorMargin
	return j.plan.expectedCalls(float64(j.allCalls)/elapsed) < fewCallsFactor*needed
}

// advanceEarly advances before the planned end of the stage, as soon as its calls rule out a large regression. Smaller
// ones take more calls to rule out, and the next stage provides them sooner.
func (d *decider) advanceEarly() Decision {
	tests := d.judge.nonInferiority
	if !tests.stageCoarse.Passed(coarseMissRate) || tests.stageSlow.LogRatio() > 0 {
		return d.hold("stage %d needs a few more calls: %s", d.stage()+1, d.callSummary())
	}
	if d.stage() == partialStages-2 && !d.judge.warmUp.complete(d.now) {
		return d.hold("backend servers of %s warm up: %s", d.move.ToVersion, d.callSummary())
	}
	return d.advance(d.stage()+1, "calls are few: "+d.callSummary())
}
