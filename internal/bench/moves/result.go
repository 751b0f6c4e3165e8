package moves

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// result is the end of one move and its effect on callers.
type result struct {
	state  apiv1.MoveState
	reason string
	// completedInTime says that the move completed and the new version had reached its full share by the deadline.
	completedInTime bool
	calls           int
	// badResponses counts the calls that the regression affected.
	badResponses  int
	firstBadAt    time.Duration
	lastNewCallAt time.Duration
}

func (r *result) count(at time.Duration, toNew, bad bool) {
	r.calls++
	if toNew {
		r.lastNewCallAt = at
	}
	if bad {
		if r.badResponses == 0 {
			r.firstBadAt = at
		}
		r.badResponses++
	}
}

// setEnd records how the move ended. fullShareAt is when the new version first had its full share; 0 means never.
func (r *result) setEnd(move *apiv1.Move, fullShareAt, deadline time.Duration) {
	r.state = move.State
	r.reason = move.Reason
	r.completedInTime = move.State == apiv1.MoveState_MOVE_STATE_DONE && fullShareAt > 0 && fullShareAt <= deadline
}

// rolledBack reports whether the old version gets all calls again.
func (r *result) rolledBack() bool {
	return r.state == apiv1.MoveState_MOVE_STATE_TAKEN_BACK || r.state == apiv1.MoveState_MOVE_STATE_EXPIRED
}

// exposure is the time from the first bad response to the last call of the new version.
func (r *result) exposure() time.Duration {
	return r.lastNewCallAt - r.firstBadAt
}
