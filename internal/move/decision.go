package move

import apiv1 "samphireflow/api/v1"

// Decision is what a judge makes of the evidence at one moment.
type Decision struct {
	// Step is the change to propose; nil to leave the move as it is.
	Step *apiv1.StepMove
	// Hold says why there is no step.
	Hold string
}
