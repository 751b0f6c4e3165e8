package backendserver

import "time"

// Report is what the backend server says about itself.
type Report struct {
	Healthy bool `json:"healthy"`
	// InFlight counts the calls that run or wait.
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// sample is a report at a point in time.
type sample struct {
	at     time.Time
	report Report
}

const (
	// sampleInterval is the time between two samples of the report.
	sampleInterval = 100 * time.Millisecond
	// sampleCount bounds the samples that are kept; it covers one minute.
	sampleCount = 600
)

// sampleAt returns the newest sample that is not younger than the time, or the oldest one.
func sampleAt(samples []sample, at time.Time) (Report, bool) {
	if len(samples) == 0 {
		return Report{}, false
	}
	for i := len(samples) - 1; i >= 0; i-- {
		if !samples[i].at.After(at) {
			return samples[i].report, true
		}
	}
	return samples[0].report, true
}

// distort applies the lies of a fault to a report.
func distort(report Report, fault HealthFault) Report {
	switch fault.Report {
	case "good":
		report.Healthy = true
	case "bad":
		report.Healthy = false
	}
	if fault.InFlight != nil {
		report.InFlight = *fault.InFlight
	}
	return report
}
