package calls

// Outcome says what became of a call that was handed on.
type Outcome string

// The fates of a call.
const (
	// Answered means that the backend server's answer is there, whatever its status.
	Answered Outcome = "answered"
	// NotRun means that the call has certainly not run and will not.
	NotRun Outcome = "not-run"
	// Unknown means that the call may have run, or may still.
	Unknown Outcome = "unknown"
	// Expired means that the deadline passed; the call may have run.
	Expired Outcome = "expired"
	// Canceled means that the caller left; the call may have run.
	Canceled Outcome = "left"
)

// Reason says why a call has the fate that it has.
type Reason string

// The reasons that parts of the system tell each other.
const (
	ReasonNone Reason = ""
	// ReasonFull: the call would have waited beyond its patience.
	ReasonFull Reason = "full"
	// ReasonDraining: the backend server leaves.
	ReasonDraining Reason = "draining"
	// ReasonMisdirected: another backend server, or none, is beside the node.
	ReasonMisdirected Reason = "misdirected"
	// ReasonUnreachable: no connection could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonShed: the backend server itself refused.
	ReasonShed Reason = "shed"
	// ReasonBroken: the exchange ended without a whole answer.
	ReasonBroken Reason = "broken"
	// ReasonDeadline: the deadline came first.
	ReasonDeadline Reason = "deadline"
	// ReasonCanceled: the caller closed its connection.
	ReasonCanceled Reason = "caller-left"
)
