package calls

// Fate says what became of a call that was handed on.
type Fate string

// The fates of a call.
const (
	// Answered means that the backend server's answer is there, whatever its status.
	Answered Fate = "answered"
	// NotRun means that the call has certainly not run and will not.
	NotRun Fate = "not-run"
	// Unknown means that the call may have run, or may still.
	Unknown Fate = "unknown"
	// Expired means that the deadline passed; the call may have run.
	Expired Fate = "expired"
	// Left means that the caller left; the call may have run.
	Left Fate = "left"
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
	// ReasonCallerLeft: the caller closed its connection.
	ReasonCallerLeft Reason = "caller-left"
)
