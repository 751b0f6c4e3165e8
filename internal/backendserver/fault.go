package backendserver

import (
	"strings"
	"time"
)

// FaultKind is the effect of a fault on a call.
type FaultKind string

// The kinds of fault.
const (
	// FaultError responds with Status after the work.
	FaultError FaultKind = "error"
	// FaultDelay adds Delay to the work time.
	FaultDelay FaultKind = "delay"
	// FaultCrash exits the process while the call is in flight.
	FaultCrash FaultKind = "crash"
)

// Fault is one injected fault and the conditions under which it applies to a call. An omitted condition always holds.
type Fault struct {
	Kind FaultKind `json:"kind" validate:"required,oneof=error delay crash"`
	// Rate is the share of matching calls to which the fault applies, 0 to 1; the default is 1.
	Rate *float64 `json:"rate,omitempty" validate:"omitempty,min=0,max=1"`
	// Status is the HTTP status of FaultError; the default is 500.
	Status int `json:"status,omitempty" validate:"omitempty,min=400,max=599"`
	// Delay is the added time of FaultDelay.
	Delay Duration `json:"delay,omitempty" validate:"min=0"`
	// After is the time after which the fault takes effect, counted from when it was set.
	After Duration `json:"after,omitempty" validate:"min=0"`
	// MinLoad is the load from which the fault applies: calls in flight divided by slots.
	MinLoad float64 `json:"min_load,omitempty" validate:"min=0"`
	// Method selects calls by their HTTP method.
	Method string `json:"method,omitempty"`
	// Path selects calls by their path. A trailing "*" matches any rest of the path.
	Path string `json:"path,omitempty"`
	// BodyContains selects calls whose body contains the text.
	BodyContains string `json:"body_contains,omitempty"`
	// Header selects calls on which this header has a non-empty value.
	Header string `json:"header,omitempty"`
}

// appliesTo reports whether the fault applies to a call. Age is the time since the fault was set, load is the number of
// calls in flight divided by the number of slots, and draw is a random number in [0, 1) that is compared with Rate.
func (f *Fault) appliesTo(call *call, age time.Duration, load, draw float64) bool {
	if age < time.Duration(f.After) || load < f.MinLoad {
		return false
	}
	if f.Rate != nil && draw >= *f.Rate {
		return false
	}
	if f.Method != "" && f.Method != call.method {
		return false
	}
	if f.Header != "" && call.header.Get(f.Header) == "" {
		return false
	}
	return matchPath(f.Path, call.path) && strings.Contains(string(call.body), f.BodyContains)
}

// matchPath reports whether a path matches a pattern. An empty pattern matches every path.
func matchPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == "" || pattern == path
}
