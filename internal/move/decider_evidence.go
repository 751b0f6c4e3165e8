package move

import (
	"math"
)

// stagePassed reports whether the calls of the current stage alone pass the non-inferiority tests.
func (d *decider) stagePassed() bool {
	tests := d.judge.nonInferiority
	return tests.stageErrors.Passed(stageMissRate) && (tests.stageSlow.Passed(stageMissRate) || !d.judge.comparesDurations())
}

// comparesDurations reports whether the old version has had enough calls on any route to compare durations.
func (j *Judge) comparesDurations() bool {
	for _, r := range j.byRoute {
		if r.oldDurations.total >= minDurationCalls {
			return true
		}
	}
	return false
}

// missingEvidence says which evidence for the full share is missing; empty for none.
func (d *decider) missingEvidence() string {
	tests := d.judge.nonInferiority
	switch {
	case !tests.errors.Passed(missRate):
		return "too few calls to rule out failures: " + d.callSummary()
	case !tests.slow.Passed(missRate):
		return "too few calls to rule out slowness: " + d.callSummary()
	case !tests.stageErrors.Passed(stageMissRate):
		return "too few calls in this stage: " + d.callSummary()
	}
	return d.routeOrCrashProblem()
}

// routeOrCrashProblem says whether crashes or a single route keep the move from the full share; empty for neither. Totals
// over all calls can hide both.
func (d *decider) routeOrCrashProblem() string {
	j := d.judge
	if j.crashes.LogEvidence() > math.Log(1/cutoffMissRate) {
		return "backend servers died: " + d.callSummary()
	}
	for _, r := range j.sortedRoutes() {
		if _, bad := r.nonInferiority.Calls(); bad >= minRouteBadCalls && r.nonInferiority.LogRatio() > 0 {
			return "calls on " + r.name + " failed: " + d.callSummary()
		}
		if r.oldCalls >= minRouteCalls && !r.nonInferiority.Passed(routeMissRate) {
			return "too few calls on " + r.name + ": " + d.callSummary()
		}
	}
	return ""
}

// passedAtCutoff tests the errors of the whole move at once. It is called only at the cutoff, because the fixed-sample
// test is not valid when it is repeated.
func (d *decider) passedAtCutoff() bool {
	tests := d.judge.nonInferiority
	return tests.errors.PassedFixedSample(cutoffMissRate, tests.oldRate()) && tests.slow.Passed(cutoffMissRate) && d.routeOrCrashProblem() == ""
}
