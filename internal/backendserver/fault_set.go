package backendserver

import (
	"net/http"
	"time"
)

// FaultSet is the body of POST /faults. It replaces the previous faults.
//
//	{"faults": [{"kind": "error", "rate": 0.3, "after": "5s", "path": "/shifts"}], "health": {"report": "good", "lag": "3s"}}
type FaultSet struct {
	Faults []Fault     `json:"faults" validate:"dive"`
	Health HealthFault `json:"health"`
}

// HealthFault makes the reports of health and load late or wrong.
type HealthFault struct {
	// Report is the health that is reported, "good" or "bad". When it is omitted, the actual health is reported.
	Report string `json:"report,omitempty" validate:"omitempty,oneof=good bad"`
	// InFlight is the load that is reported. When it is omitted, the actual load is reported.
	InFlight *int `json:"in_flight,omitempty" validate:"omitempty,min=0"`
	// Lag is the age of the reported values, at most one minute.
	Lag Duration `json:"lag,omitempty" validate:"min=0,max=60000000000"`
}

// activeFaults is a fault set and the time at which it was set.
type activeFaults struct {
	set   FaultSet
	since time.Time
}

// effect is the combined effect of the faults on one call.
type effect struct {
	crash  bool
	delay  time.Duration
	status int
}

// effectOn combines the faults that apply to a call. Delays add up, and the last error fault determines the status.
func (a *activeFaults) effectOn(call *call, now time.Time, load float64, draw func() float64) effect {
	var total effect
	for i := range a.set.Faults {
		fault := &a.set.Faults[i]
		if !fault.appliesTo(call, now.Sub(a.since), load, draw()) {
			continue
		}
		switch fault.Kind {
		case FaultCrash:
			total.crash = true
		case FaultDelay:
			total.delay += time.Duration(fault.Delay)
		case FaultError:
			total.status = fault.Status
			if total.status == 0 {
				total.status = http.StatusInternalServerError
			}
		}
	}
	return total
}
