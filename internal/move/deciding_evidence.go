package move

import (
	"math"
)

// stageCleared reports whether the calls of this stage by themselves look good.
func (d *deciding) stageCleared() bool {
	c := d.judge.clearing
	return c.stageErrors.Cleared(stageMissRate) && (c.stageSlow.Cleared(stageMissRate) || !d.judge.timed())
}

// timed reports whether durations are compared at all: the old version had enough calls.
func (j *Judge) timed() bool {
	for _, r := range j.records {
		if r.durations.total >= quorumCalls {
			return true
		}
	}
	return false
}

// uncleared says which evidence for becoming whole is missing; empty for none.
func (d *deciding) uncleared() string {
	c := d.judge.clearing
	switch {
	case !c.errors.Cleared(missRate):
		return "too few calls to rule out failures: " + d.evidence()
	case !c.slow.Cleared(missRate):
		return "too few calls to rule out slowness: " + d.evidence()
	case !c.stageErrors.Cleared(stageMissRate):
		return "too few calls in this stage: " + d.evidence()
	}
	return d.unclearedPart()
}

// unclearedPart says what speaks against a part of the calls that all calls together may hide; empty for nothing.
func (d *deciding) unclearedPart() string {
	j := d.judge
	if j.deaths.Log() > math.Log(1/lastLookMissRate) {
		return "backend servers died: " + d.evidence()
	}
	for _, r := range j.sortedRecords() {
		if _, bad := r.cleared.Calls(); bad >= leastBadCalls && r.cleared.Log() > 0 {
			return "calls on " + r.name + " failed: " + d.evidence()
		}
		if r.oldCalls >= ownJudgementCalls && !r.cleared.Cleared(routeMissRate) {
			return "too few calls on " + r.name + ": " + d.evidence()
		}
	}
	return ""
}

// clearedOnce looks at all calls of the move once, at its last call.
func (d *deciding) clearedOnce() bool {
	c := d.judge.clearing
	return c.errors.ClearedOnce(lastLookMissRate, c.oldRate()) && c.slow.Cleared(lastLookMissRate) && d.unclearedPart() == ""
}
