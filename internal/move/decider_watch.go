package move

import (
	"fmt"
	"math"
	"time"

	apiv1 "samphireflow/api/v1"
)

// decideWatching decides on a move at full share. The old version has no calls then, so a regression may have a cause that
// both versions share. The move therefore goes back to half of the calls, where both versions are compared again.
func (d *decider) decideWatching() Decision {
	if d.historical.logEvidence >= math.Log(1/falseAlarmRate) {
		return d.returnToHalf()
	}
	watched := d.now.Sub(time.UnixMilli(d.move.StageUnixMs))
	watchTime := time.Duration(d.judge.policy.WatchMs) * time.Millisecond
	if watched < watchTime {
		return d.hold("watched for %s of %s", watched.Round(time.Second), watchTime)
	}
	return d.step(apiv1.MoveState_MOVE_STATE_DONE, fullShare, "whole and watched: "+d.callSummary())
}

func (d *decider) returnToHalf() Decision {
	if d.status.ReadyOld == 0 {
		return d.hold("%s than those of %s before, which has no ready backend server to go back to: %s",
			d.historical.text, d.move.FromVersion, d.callSummary())
	}
	decision := d.step(apiv1.MoveState_MOVE_STATE_RUNNING, lastPartialShare, fmt.Sprintf(
		"%s than those of %s before; half of the calls go back, to compare them in the same time: %s", d.historical.text, d.move.FromVersion, d.callSummary()))
	decision.Step.Stage = partialStages - 1
	return decision
}

// cutoff returns when the move must go to the full share or end. A move that reached it in time and went back to half has
// twice the watch time to reach it again. The judge of a new leader recognizes such a move by a share that changed after
// the planned cutoff.
func (d *decider) cutoff() time.Time {
	planned := d.judge.plan.cutoff()
	if !d.judge.wasAtFullShare && d.judge.shareSince.Before(planned) {
		return planned
	}
	secondCutoff := d.judge.shareSince.Add(2 * time.Duration(d.judge.policy.WatchMs) * time.Millisecond)
	if secondCutoff.After(planned) {
		return secondCutoff
	}
	return planned
}
