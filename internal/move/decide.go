package move

import (
	"fmt"
	"math"
	"strings"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// Decide returns the next step of a move, or why there is none. It only ever raises the share of a move without
// doubt about its new version.
func (j *Judge) Decide(now time.Time, move *apiv1.Move, situation *Situation) Decision {
	j.follow(move)
	j.warm.follow(situation)
	j.closeDue(now)
	d := &deciding{judge: j, now: now, move: move, situation: situation}
	d.compared, d.watched = j.findings()
	if d.compared.log >= math.Log(1/falseAlarmRate) {
		return d.step(apiv1.MoveState_MOVE_STATE_TAKEN_BACK, 0, d.takenBackReason())
	}
	if move.State == apiv1.MoveState_MOVE_STATE_WATCHING {
		return d.watch()
	}
	return d.run()
}

// deciding is one decision with what it is made on.
type deciding struct {
	judge     *Judge
	now       time.Time
	move      *apiv1.Move
	situation *Situation
	compared  finding
	watched   finding
}

// watch judges a move that is whole. The old version has no calls then, so that badness may come from something
// beneath both: half of the calls go back to the old version, and the two are compared again.
func (d *deciding) watch() Decision {
	if d.watched.log >= math.Log(1/falseAlarmRate) {
		return d.backToHalf()
	}
	watched := d.now.Sub(time.UnixMilli(d.move.StageUnixMs))
	whole := time.Duration(d.judge.policy.WatchMs) * time.Millisecond
	if watched < whole {
		return d.hold("watched for %s of %s", watched.Round(time.Second), whole)
	}
	return d.step(apiv1.MoveState_MOVE_STATE_DONE, fullShare, "whole and watched: "+d.evidence())
}

func (d *deciding) backToHalf() Decision {
	if d.situation.ReadyOld == 0 {
		return d.hold("%s than those of %s before, which has no ready backend server to go back to: %s",
			d.watched.text, d.move.FromVersion, d.evidence())
	}
	decision := d.step(apiv1.MoveState_MOVE_STATE_RUNNING, lastTestShare, fmt.Sprintf(
		"%s than those of %s before; half of the calls go back, to compare them in the same time: %s", d.watched.text, d.move.FromVersion, d.evidence()))
	decision.Step.Stage = testStages - 1
	return decision
}

// lastCallAt is when the move must be whole or end. A move that was whole in time and went back to half has twice
// the time of its watch to become whole again.
func (d *deciding) lastCallAt() time.Time {
	planned := d.judge.plan.lastCall()
	if !d.judge.wasWhole && d.judge.shareSince.Before(planned) {
		return planned
	}
	again := d.judge.shareSince.Add(2 * time.Duration(d.judge.policy.WatchMs) * time.Millisecond)
	if again.After(planned) {
		return again
	}
	return planned
}

func (d *deciding) run() Decision {
	if !d.now.Before(d.lastCallAt()) {
		return d.lastCall()
	}
	if obstacle := d.obstacle(); obstacle != "" {
		return d.hold("%s", obstacle)
	}
	if d.now.Sub(d.judge.shareSince) < d.judge.plan.shortestStage() {
		return d.hold("stage %d has begun", d.stage()+1)
	}
	if d.stage() < testStages-1 && d.callsAreFew() {
		return d.hurry()
	}
	if d.now.Before(d.judge.plan.stageEnd(d.stage())) {
		return d.hold("stage %d goes on by plan", d.stage()+1)
	}
	if d.stage() == testStages-1 {
		return d.becomeWhole()
	}
	if !d.stageCleared() {
		return d.hold("stage %d needs more evidence: %s", d.stage()+1, d.evidence())
	}
	return d.forward(d.stage()+1, d.evidence())
}

func (d *deciding) becomeWhole() Decision {
	if missing := d.uncleared(); missing != "" {
		return d.hold("%s", missing)
	}
	return d.forward(testStages, d.evidence())
}

// lastCall ends a move that is not whole so late that nodes could not apply another stage by the deadline.
func (d *deciding) lastCall() Decision {
	if obstacle := d.obstacle(); obstacle != "" {
		return d.step(apiv1.MoveState_MOVE_STATE_EXPIRED, 0, "not whole by the deadline: "+obstacle)
	}
	if !d.judge.clearing.failing() {
		d.judge.clearing.count(0)
	}
	missing := d.uncleared()
	if missing == "" || d.clearedOnce() {
		return d.forward(testStages, d.evidence())
	}
	if d.judge.policy.ThinEvidence == tree.ThinEvidenceAdvance {
		return d.forward(testStages, "evidence is thin at the deadline and the rule is to advance: "+missing)
	}
	return d.step(apiv1.MoveState_MOVE_STATE_EXPIRED, 0, "evidence is thin at the deadline and the rule is to take back: "+missing)
}

// obstacle says what keeps the share from being raised, whatever the plan; empty for nothing.
func (d *deciding) obstacle() string {
	next := d.judge.plan.shares[min(d.stage()+1, testStages)]
	switch {
	case d.situation.ReadyNew == 0:
		return "no backend server of " + d.move.ToVersion + " is ready"
	case d.compared.log >= math.Log(1/doubtRate):
		return "there is doubt, as " + d.compared.text + ": " + d.evidence()
	case d.judge.clearing.failing():
		return "both versions answer badly, so something beneath them is likely: " + d.evidence()
	case !d.capacityFor(next):
		return fmt.Sprintf("%d backend servers of %s cannot carry a share of %s", d.situation.ReadyNew, d.move.ToVersion, percent(next))
	}
	return ""
}

// capacityFor applies Little's law to the calls of the stage.
func (d *deciding) capacityFor(share uint32) bool {
	elapsed := d.now.Sub(d.judge.shareSince)
	if d.situation.SlotsNew == 0 || elapsed <= 0 {
		return true
	}
	atOnce := float64(d.judge.stageBusy) / float64(elapsed)
	return atOnce*float64(share)/fullShare <= usableSlots*float64(d.situation.SlotsNew)
}

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

func (d *deciding) stage() int {
	return min(int(d.move.Stage), testStages-1)
}

func (d *deciding) forward(stage int, reason string) Decision {
	state := apiv1.MoveState_MOVE_STATE_RUNNING
	if stage >= testStages {
		state = apiv1.MoveState_MOVE_STATE_WATCHING
	}
	decision := d.step(state, d.judge.plan.shares[stage], reason)
	decision.Step.Stage = uint32(stage)
	return decision
}

func (d *deciding) step(state apiv1.MoveState, share uint32, reason string) Decision {
	return Decision{Step: &apiv1.StepMove{
		MoveId:   d.move.Id,
		Revision: d.move.Revision,
		State:    state,
		Stage:    d.move.Stage,
		ShareBp:  share,
		Reason:   reason + d.missingText(),
	}}
}

func (d *deciding) hold(format string, args ...any) Decision {
	return Decision{Hold: fmt.Sprintf(format, args...) + d.missingText()}
}

func (d *deciding) takenBackReason() string {
	reason := d.compared.text + " than those of " + d.move.FromVersion + ": " + d.evidence()
	if d.situation.ReadyOld == 0 {
		reason += "; no backend server of " + d.move.FromVersion + " is ready"
	}
	return reason
}

func (d *deciding) evidence() string {
	return fmt.Sprintf("%s had %d calls, %d failed", d.move.ToVersion, d.judge.newCalls, d.judge.newBad)
}

func (d *deciding) missingText() string {
	if len(d.situation.MissingDomains) == 0 {
		return ""
	}
	return "; without reports from " + strings.Join(d.situation.MissingDomains, ", ")
}

func percent(basisPoints uint32) string {
	const basisPointsPerPercent = 100
	return fmt.Sprintf("%g%%", float64(basisPoints)/basisPointsPerPercent)
}
