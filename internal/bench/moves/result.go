package moves

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// result is how one move ended and what callers bore.
type result struct {
	state  apiv1.MoveState
	reason string
	// inTime says that the new version was whole by the deadline and stayed so.
	inTime bool
	calls  int
	// badAnswers counts calls that the new version's badness struck.
	badAnswers int
	firstBad   time.Duration
	lastNew    time.Duration
}

func (r *result) count(at time.Duration, ofNew, bad bool) {
	r.calls++
	if ofNew {
		r.lastNew = at
	}
	if bad {
		if r.badAnswers == 0 {
			r.firstBad = at
		}
		r.badAnswers++
	}
}

// finish takes in the end of the move and when it was whole for the first time; 0 for never.
func (r *result) finish(move *apiv1.Move, wholeAt, deadline time.Duration) {
	r.state = move.State
	r.reason = move.Reason
	r.inTime = move.State == apiv1.MoveState_MOVE_STATE_DONE && wholeAt > 0 && wholeAt <= deadline
}

// takenBack reports whether the old version has all calls again.
func (r *result) takenBack() bool {
	return r.state == apiv1.MoveState_MOVE_STATE_TAKEN_BACK || r.state == apiv1.MoveState_MOVE_STATE_EXPIRED
}

// exposure is the time from the first bad answer to the last call of the new version.
func (r *result) exposure() time.Duration {
	return r.lastNew - r.firstBad
}
