package backendserver

import (
	"net/http"
	"time"
)

// FaultSet is the document of POST /faults. It replaces the faults that were set before.
//
//	{"faults": [{"kind": "error", "rate": 0.3, "after": "5s", "path": "/shifts"}], "health": {"report": "good", "lag": "3s"}}
type FaultSet struct {
	Faults []Fault     `json:"faults" validate:"dive"`
	Health HealthFault `json:"health"`
}

// HealthFault makes the reports of health and load lag or lie.
type HealthFault struct {
	// Report is "good" or "bad"; left out the truth is told.
	Report string `json:"report,omitempty" validate:"omitempty,oneof=good bad"`
	// InFlight is the load that is reported; left out the truth is told.
	InFlight *int `json:"in_flight,omitempty" validate:"omitempty,min=0"`
	// Lag is the age of what is reported, up to a minute.
	Lag Duration `json:"lag,omitempty" validate:"min=0,max=60000000000"`
}

// activeFaults is a fault set with the time at which it was set.
type activeFaults struct {
	set   FaultSet
	since time.Time
}

// effect is what the faults do to one call.
type effect struct {
	crash  bool
	delay  time.Duration
	status int
}

// effectOn sums the faults that strike a call.
func (a *activeFaults) effectOn(call *call, now time.Time, load float64, draw func() float64) effect {
	var sum effect
	for i := range a.set.Faults {
		fault := &a.set.Faults[i]
		if !fault.strikes(call, now.Sub(a.since), load, draw()) {
			continue
		}
		switch fault.Kind {
		case FaultCrash:
			sum.crash = true
		case FaultDelay:
			sum.delay += time.Duration(fault.Delay)
		case FaultError:
			sum.status = fault.Status
			if sum.status == 0 {
				sum.status = http.StatusInternalServerError
			}
		}
	}
	return sum
}
