package sequential

const (
	// priorBad and priorCalls are the bad calls and calls of the prior, which dominates while there are few calls.
	priorBad   = 0.1
	priorCalls = 20
)

// Rate is a running estimate of the share of bad calls, in which older calls lose weight.
type Rate struct {
	decayCalls float64
	bad        float64
	calls      float64
}

// NewRate returns an estimate without calls. Adding decayCalls calls at once halves the weight of the earlier ones.
func NewRate(decayCalls float64) *Rate {
	return &Rate{decayCalls: decayCalls}
}

// Add adds calls, of which some were bad.
func (r *Rate) Add(calls, bad uint64) {
	keep := r.decayCalls / (r.decayCalls + float64(calls))
	r.calls = r.calls*keep + float64(calls)
	r.bad = r.bad*keep + float64(bad)
}

// Mean returns the estimated share, from 0 to 1. The prior keeps it above 0.
func (r *Rate) Mean() float64 {
	return (r.bad + priorBad) / (r.calls + priorCalls)
}

// Unsmoothed returns the share without the prior; 0 without calls.
func (r *Rate) Unsmoothed() float64 {
	return r.bad / max(r.calls, 1)
}

// Calls returns the weighted number of calls in the estimate.
func (r *Rate) Calls() float64 {
	return r.calls
}
