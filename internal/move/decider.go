package move

import (
	"fmt"
	"math"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// Decide returns the next step of a move, or why there is none. It does not raise the share while the evidence against
// the new version exceeds the bound for holding.
func (j *Judge) Decide(now time.Time, move *apiv1.Move, status *ServiceStatus) Decision {
	j.update(move)
	j.warmUp.update(status)
	j.closeCompleteBlocks(now)
	d := &decider{judge: j, now: now, move: move, status: status}
	d.concurrent, d.historical = j.findings()
	if d.concurrent.logEvidence >= math.Log(1/falseAlarmRate) {
		return d.step(apiv1.MoveState_MOVE_STATE_TAKEN_BACK, 0, d.rollbackReason())
	}
	if move.State == apiv1.MoveState_MOVE_STATE_WATCHING {
		return d.decideWatching()
	}
	return d.decideRunning()
}

// decider makes one decision from a snapshot of its inputs. A shortJudge uses only its methods step and hold, and leaves
// judge, concurrent and historical empty.
type decider struct {
	judge      *Judge
	now        time.Time
	move       *apiv1.Move
	status     *ServiceStatus
	concurrent finding
	historical finding
}

func (d *decider) decideRunning() Decision {
	if !d.now.Before(d.cutoff()) {
		return d.decideAtCutoff()
	}
	if reason := d.blockedReason(); reason != "" {
		return d.hold("%s", reason)
	}
	if d.now.Sub(d.judge.shareSince) < d.judge.plan.minStageTime() {
		return d.hold("stage %d has begun", d.stage()+1)
	}
	if d.stage() < partialStages-1 && d.expectsFewCalls() {
		return d.advanceEarly()
	}
	if d.now.Before(d.judge.plan.stageEnd(d.stage())) {
		return d.hold("stage %d goes on by plan", d.stage()+1)
	}
	if d.stage() == partialStages-1 {
		return d.advanceToFullShare()
	}
	if !d.stagePassed() {
		return d.hold("stage %d needs more evidence: %s", d.stage()+1, d.callSummary())
	}
	return d.advance(d.stage()+1, d.callSummary())
}

func (d *decider) advanceToFullShare() Decision {
	if missing := d.missingEvidence(); missing != "" {
		return d.hold("%s", missing)
	}
	return d.advance(partialStages, d.callSummary())
}

// decideAtCutoff takes the last decision before the deadline: the move goes to the full share or expires. Nodes would not
// apply a later step by the deadline. The tests get the delayed blocks without waiting for further calls of the old
// version.
func (d *decider) decideAtCutoff() Decision {
	if reason := d.blockedReason(); reason != "" {
		return d.step(apiv1.MoveState_MOVE_STATE_EXPIRED, 0, "not whole by the deadline: "+reason)
	}
	if !d.judge.nonInferiority.oldFailing() {
		d.judge.nonInferiority.releaseDelayed(0)
	}
	missing := d.missingEvidence()
	if missing == "" || d.passedAtCutoff() {
		return d.advance(partialStages, d.callSummary())
	}
	if d.judge.policy.ThinEvidence == tree.ThinEvidenceAdvance && !d.failsTooOften() {
		return d.advance(partialStages, "evidence is thin at the deadline and the rule is to advance: "+missing)
	}
	return d.step(apiv1.MoveState_MOVE_STATE_EXPIRED, 0, "evidence is thin at the deadline, or speaks against the version: "+missing)
}

// failsTooOften reports whether the error rate of the new version is above the tolerated one, even without statistical
// certainty. The policy to advance on thin evidence covers too few calls, not calls that indicate a regression.
func (d *decider) failsTooOften() bool {
	j := d.judge
	if j.newBad < minBadCallsAtCutoff {
		return false
	}
	return float64(j.newBad)/float64(j.newCalls) > j.nonInferiority.oldRate()+j.errorMargin
}

// stage is the index of the current partial stage.
func (d *decider) stage() int {
	return min(int(d.move.Stage), partialStages-1)
}

func (d *decider) advance(stage int, reason string) Decision {
	state := apiv1.MoveState_MOVE_STATE_RUNNING
	if stage >= partialStages {
		state = apiv1.MoveState_MOVE_STATE_WATCHING
	}
	decision := d.step(state, d.judge.plan.shares[stage], reason)
	decision.Step.Stage = uint32(stage)
	return decision
}

// step returns a decision to change the move. Share is in basis points.
func (d *decider) step(state apiv1.MoveState, share uint32, reason string) Decision {
	return Decision{Step: &apiv1.StepMove{
		MoveId:   d.move.Id,
		Revision: d.move.Revision,
		State:    state,
		Stage:    d.move.Stage,
		ShareBp:  share,
		Reason:   reason + d.missingDomainsText(),
	}}
}

func (d *decider) hold(format string, args ...any) Decision {
	return Decision{HoldReason: fmt.Sprintf(format, args...) + d.missingDomainsText()}
}
