package move

import (
	"fmt"
	"math"
	"time"

	apiv1 "samphireflow/api/v1"
)

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
