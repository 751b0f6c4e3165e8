package sequential

const (
	// priorBad and priorCalls are the calls that a rate starts with.
	priorBad   = 0.1
	priorCalls = 20
)

// Rate is a running estimate of the share of bad calls that forgets older calls.
type Rate struct {
	memory float64
	bad    float64
	calls  float64
}

// NewRate returns an estimate in which calls weigh half after the given count of further ones.
func NewRate(memory float64) *Rate {
	return &Rate{memory: memory}
}

// Add counts calls of which some were bad.
func (r *Rate) Add(calls, bad uint64) {
	keep := r.memory / (r.memory + float64(calls))
	r.calls = r.calls*keep + float64(calls)
	r.bad = r.bad*keep + float64(bad)
}

// Mean returns the estimated share, from 0 to 1, never quite 0.
func (r *Rate) Mean() float64 {
	return (r.bad + priorBad) / (r.calls + priorCalls)
}

// Raw returns the share without the calls that the estimate starts with; 0 without calls.
func (r *Rate) Raw() float64 {
	return r.bad / max(r.calls, 1)
}

// Calls returns the weighted count of calls behind the estimate.
func (r *Rate) Calls() float64 {
	return r.calls
}
