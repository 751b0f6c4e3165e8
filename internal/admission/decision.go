package admission

import "time"

// Decision is the decision on an outer call.
type Decision struct {
	// Service is the service that has no room for the inner calls of the call's run; it is empty if the call is admitted.
	Service string
	// RetryAfter is the time after which enough inner calls of the runs in flight are expected to have ended.
	RetryAfter time.Duration
}

// Refused reports whether the call is refused.
func (d Decision) Refused() bool {
	return d.Service != ""
}
