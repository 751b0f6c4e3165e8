package calls

// Outcome is the outcome of sending a call to one backend server.
type Outcome string

const (
	// Answered means that the backend server responded, with whatever status.
	Answered Outcome = "answered"
	// NotRun means that the call certainly has not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown means that the call may have run or may still run.
	Unknown Outcome = "unknown"
	// Expired means that the deadline passed; the call may have run.
	Expired Outcome = "expired"
	// Canceled means that the caller closed its connection; the call may have run.
	Canceled Outcome = "left"
)

// Reason is the reason for an Outcome.
type Reason string

const (
	// ReasonNone means that no reason is given.
	ReasonNone Reason = ""
	// ReasonFull means that the gate's queue has no room: the call would have waited for too long.
	ReasonFull Reason = "full"
	// ReasonInnerFull means that a service which the run would call has no room, so that the run would fail. It is the same
	// at all gates.
	ReasonInnerFull Reason = "inner-full"
	// ReasonInnerFailed means that the backend server has answered with an error after a call that the run made to another
	// service had failed. It says nothing about the backend server.
	ReasonInnerFailed Reason = "inner-failed"
	// ReasonSlow means that a slot is free, but the machine is so slow at this moment that the call would miss the time by
	// which it is to finish.
	ReasonSlow Reason = "slow"
	// ReasonLink means that the link of the instance would send the long response too late.
	ReasonLink Reason = "link"
	// ReasonDraining means that the backend server is draining.
	ReasonDraining Reason = "draining"
	// ReasonCold means that the backend server is cold and has got as many calls in the last second as it can take.
	ReasonCold Reason = "cold"
	// ReasonEvacuated means that the failure domain of the backend server is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonMisdirected means that the call reached another backend server or a node without one, or could not be read.
	ReasonMisdirected Reason = "misdirected"
	// ReasonUnreachable means that no connection could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonShed means that the backend server itself refused the call.
	ReasonShed Reason = "shed"
	// ReasonBroken means that the exchange ended without a complete response of the backend server.
	ReasonBroken Reason = "broken"
	// ReasonSilent means that no answer came from the gate within the objective of the call, until the deadline passed or the
	// caller closed its connection.
	ReasonSilent Reason = "silent"
	// ReasonDeadline means that the deadline passed before the response arrived or before the call was sent.
	ReasonDeadline Reason = "deadline"
	// ReasonCanceled means that the caller closed its connection.
	ReasonCanceled Reason = "caller-left"
)
