package move

import (
	"fmt"
	"math"
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
	if d.judge.policy.ThinEvidence == tree.ThinEvidenceAdvance && !d.speaksAgainst() {
		return d.forward(testStages, "evidence is thin at the deadline and the rule is to advance: "+missing)
	}
	return d.step(apiv1.MoveState_MOVE_STATE_EXPIRED, 0, "evidence is thin at the deadline, or speaks against the version: "+missing)
}

// speaksAgainst reports whether the calls of the new version failed more often than is tolerated. The rule to advance is for
// evidence that is thin, not for evidence that is bad but not certain yet.
func (d *deciding) speaksAgainst() bool {
	j := d.judge
	if j.newBad < leastAgainst {
		return false
	}
	return float64(j.newBad)/float64(j.newCalls) > j.clearing.oldRate()+j.errorMargin
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
