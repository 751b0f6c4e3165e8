package ingress

import (
	"github.com/rs/zerolog"

	"samphireflow/internal/calls"
)

// attempt is what came of handing a call to one backend server.
type attempt struct {
	server string
	result *calls.Result
}

// attempts are written as a list of objects.
type attempts []attempt

// refusals counts those that were refused by a gate or its backend server.
func (list attempts) refusals() int {
	count := 0
	for _, one := range list {
		if one.result.Outcome == calls.NotRun && (one.result.Reason == calls.ReasonFull || one.result.Reason == calls.ReasonShed) {
			count++
		}
	}
	return count
}

// MarshalZerologArray writes the attempts in their order.
func (list attempts) MarshalZerologArray(array *zerolog.Array) {
	for _, one := range list {
		array.Object(one)
	}
}

// MarshalZerologObject writes one attempt with the load that decided it.
func (a attempt) MarshalZerologObject(event *zerolog.Event) {
	event.Str("backend_server", a.server).Str("fate", string(a.result.Outcome)).Str("reason", string(a.result.Reason))
	if a.result.Load != nil {
		event.Str("load", a.result.Load.String())
	}
	if a.result.RetryAfter > 0 {
		event.Dur("retry_after_ms", a.result.RetryAfter)
	}
}
