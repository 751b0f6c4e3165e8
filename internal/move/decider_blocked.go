package move

import (
	"fmt"
	"math"
)

// blockedReason says what prevents a larger share regardless of the plan; empty for nothing.
func (d *decider) blockedReason() string {
	next := d.judge.plan.shares[min(d.stage()+1, partialStages)]
	switch {
	case d.status.ReadyNew == 0:
		return "no backend server of " + d.move.ToVersion + " is ready"
	case d.concurrent.logEvidence >= math.Log(1/falseHoldRate):
		return "there is doubt, as " + d.concurrent.text + ": " + d.callSummary()
	case d.judge.nonInferiority.oldFailing():
		return "both versions answer badly, so something beneath them is likely: " + d.callSummary()
	case !d.hasCapacityFor(next):
		return fmt.Sprintf("%d backend servers of %s cannot carry a share of %s", d.status.ReadyNew, d.move.ToVersion, percent(next))
	}
	return ""
}

// hasCapacityFor reports whether the new version's slots can carry a share. It estimates the concurrency by Little's law
// from the calls of the current stage.
func (d *decider) hasCapacityFor(share uint32) bool {
	elapsed := d.now.Sub(d.judge.shareSince)
	if d.status.SlotsNew == 0 || elapsed <= 0 {
		return true
	}
	concurrency := float64(d.judge.stageCallTime) / float64(elapsed)
	return concurrency*float64(share)/fullShare <= usableSlotShare*float64(d.status.SlotsNew)
}
