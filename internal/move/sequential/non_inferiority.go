package sequential

import "math"

// maxLogRatio caps the evidence against the new version, so that a test can still pass within reasonable time after a
// period of failures.
const maxLogRatio = 3

// NonInferiority tests that the new version is not worse than the old one by a margin.
type NonInferiority struct {
	margin float64
	// logRatio is the logarithm of the likelihood ratio of "worse by the margin" against "equal".
	logRatio float64
	calls    uint64
	bad      uint64
}

// NewNonInferiority returns a test against a margin, from 0 to 1.
func NewNonInferiority(margin float64) *NonInferiority {
	return &NonInferiority{margin: margin}
}

// Observe adds calls of the new version, with the rate of the old one in the same period.
func (t *NonInferiority) Observe(calls, bad uint64, oldRate float64) {
	rate := min(oldRate, maxRate-t.margin/2)
	t.logRatio += logLikelihoodRatio(calls, bad, min(rate+t.margin, maxRate), rate)
	t.logRatio = min(t.logRatio, maxLogRatio)
	t.calls += calls
	t.bad += bad
}

// Passed reports whether the likelihood ratio is at most missRate, so that a version which is worse by the margin passes
// with a probability of at most missRate. This is approximate, because the old version's rate is an estimate.
func (t *NonInferiority) Passed(missRate float64) bool {
	return t.logRatio <= math.Log(missRate)
}

// PassedFixedSample tests all calls once, by the binomial distribution: it reports whether a version that is worse by the
// margin would have as few bad calls with a probability of at most missRate. It needs fewer calls than Passed, but is not
// valid when it is repeated until it holds.
func (t *NonInferiority) PassedFixedSample(missRate, oldRate float64) bool {
	return binomialCDF(t.calls, t.bad, min(oldRate+t.margin, maxRate)) <= missRate
}

// binomialCDF is the probability of at most the given number of bad calls.
func binomialCDF(calls, bad uint64, rate float64) float64 {
	sum := 0.0
	term := float64(calls) * math.Log1p(-rate)
	for k := uint64(0); k <= min(bad, calls); k++ {
		sum += math.Exp(term)
		term += math.Log(float64(calls-k)/float64(k+1)) + math.Log(rate/(1-rate))
	}
	return sum
}

// LogRatio returns the logarithm of the likelihood ratio of "worse by the margin" against "equal"; below 0, "equal" is
// the more likely.
func (t *NonInferiority) LogRatio() float64 { return t.logRatio }

// Calls returns the number of calls of the new version, and of the bad ones.
func (t *NonInferiority) Calls() (calls, bad uint64) { return t.calls, t.bad }

// Reset drops all evidence and keeps the margin.
func (t *NonInferiority) Reset() {
	*t = NonInferiority{margin: t.margin}
}
