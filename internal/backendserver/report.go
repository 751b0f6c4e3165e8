package backendserver

import "time"

// Report is the health and load that the backend server publishes.
type Report struct {
	Healthy bool `json:"healthy"`
	// InFlight is the number of calls that run or wait.
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// sample is the report at one point in time.
type sample struct {
	at     time.Time
	report Report
}

const (
	// sampleInterval is the time between two samples.
	sampleInterval = 100 * time.Millisecond
	// sampleCount is the number of samples that are kept. They cover one minute, the maximum of HealthFault.Lag.
	sampleCount = 600
)

// sampleAt returns the report that was current at a time, or the oldest one if the samples begin later.
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

// applyHealthFault returns the report with the values that the fault overrides.
func applyHealthFault(report Report, fault HealthFault) Report {
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
