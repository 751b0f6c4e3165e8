package move

import (
	"math"
)

// callsAreFew reports whether the planned stages would give the new version too few calls to be cleared.
func (d *deciding) callsAreFew() bool {
	j := d.judge
	elapsed := d.now.Sub(j.firstCall).Seconds()
	if j.allCalls == 0 || elapsed < leastRateTime.Seconds() {
		return false
	}
	needed := -math.Log(missRate) / j.errorMargin
	return j.plan.expectedCalls(float64(j.allCalls)/elapsed) < hurryFactor*needed
}

// hurry goes a stage forward before its planned end, as soon as the few calls rule out that the version is very bad:
// more calls are needed to tell more.
func (d *deciding) hurry() Decision {
	c := d.judge.clearing
	if !c.stageCoarse.Cleared(coarseMissRate) || c.stageSlow.Log() > 0 {
		return d.hold("stage %d needs a few more calls: %s", d.stage()+1, d.evidence())
	}
	if d.stage() == testStages-2 && !d.judge.warm.over(d.now) {
		return d.hold("backend servers of %s warm up: %s", d.move.ToVersion, d.evidence())
	}
	return d.forward(d.stage()+1, "calls are few: "+d.evidence())
}
