package ingress

import (
	"github.com/rs/zerolog"

	"samphireflow/internal/calls"
)

// attempt is one attempt to send a call to a backend server, with its result.
type attempt struct {
	server string
	result *calls.Result
}

// attemptList is logged as an array of objects.
type attemptList []attempt

// refusals returns the number of attempts that a gate refused because it was full or that a backend server refused.
func (list attemptList) refusals() int {
	count := 0
	for _, a := range list {
		if a.result.Outcome == calls.NotRun && (a.result.Reason == calls.ReasonFull || a.result.Reason == calls.ReasonLink || a.result.Reason == calls.ReasonShed) {
			count++
		}
	}
	return count
}

// MarshalZerologArray implements zerolog.LogArrayMarshaler. It keeps the order of the attempts.
func (list attemptList) MarshalZerologArray(array *zerolog.Array) {
	for _, a := range list {
		array.Object(a)
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler. It includes the load that the gate reported.
func (a attempt) MarshalZerologObject(event *zerolog.Event) {
	event.Str("backend_server", a.server).Str("fate", string(a.result.Outcome)).Str("reason", string(a.result.Reason))
	if a.result.Load != nil {
		event.Str("load", a.result.Load.String())
	}
	if a.result.RetryAfter > 0 {
		event.Dur("retry_after_ms", a.result.RetryAfter)
	}
}
