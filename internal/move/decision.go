package move

import apiv1 "samphireflow/api/v1"

// Decision is the result of one evaluation of a move.
type Decision struct {
	// Step is the change to propose; nil leaves the move as it is.
	Step *apiv1.StepMove
	// HoldReason says why there is no step; empty with a step.
	HoldReason string
}
