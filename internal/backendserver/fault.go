package backendserver

import (
	"strings"
	"time"
)

// FaultKind says what a fault does to a call.
type FaultKind string

// The kinds of fault.
const (
	// FaultError answers with Status after the work.
	FaultError FaultKind = "error"
	// FaultDelay adds Delay to the work.
	FaultDelay FaultKind = "delay"
	// FaultCrash ends the process at once, with the call in flight.
	FaultCrash FaultKind = "crash"
)

// Fault is one fault and the calls that it strikes. Conditions that are left out always hold.
type Fault struct {
	Kind FaultKind `json:"kind" validate:"required,oneof=error delay crash"`
	// Rate is the share of matching calls that are struck, 0 to 1; left out it is 1.
	Rate *float64 `json:"rate,omitempty" validate:"omitempty,min=0,max=1"`
	// Status is the HTTP status of FaultError; left out it is 500.
	Status int `json:"status,omitempty" validate:"omitempty,min=400,max=599"`
	// Delay is the added time of FaultDelay.
	Delay Duration `json:"delay,omitempty" validate:"min=0"`
	// After is the time from setting the fault to its first effect.
	After Duration `json:"after,omitempty" validate:"min=0"`
	// MinLoad is the share of slots in use from which the fault strikes.
	MinLoad float64 `json:"min_load,omitempty" validate:"min=0"`
	// Method and Path select a route; a trailing "/*" of Path matches the rest.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// BodyContains selects calls whose body holds the text.
	BodyContains string `json:"body_contains,omitempty"`
	// Header selects calls that carry the header, whatever its value.
	Header string `json:"header,omitempty"`
}

// strikes reports whether the fault strikes a call. Age is the time since the fault was set, draw a random number from
// 0 to 1.
func (f *Fault) strikes(call *call, age time.Duration, load, draw float64) bool {
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

// matchPath reports whether a path fits a pattern. An empty pattern fits all.
func matchPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == "" || pattern == path
}
