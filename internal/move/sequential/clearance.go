package sequential

import "math"

// clearanceCeiling bounds how far evidence against the new version can put a clearance off.
const clearanceCeiling = 3

// Clearance gathers evidence that the new version is not worse than the old one by a margin.
type Clearance struct {
	margin float64
	log    float64
	calls  uint64
	bad    uint64
}

// NewClearance returns a test against a margin, from 0 to 1.
func NewClearance(margin float64) *Clearance {
	return &Clearance{margin: margin}
}

// Observe takes in calls of the new version and the rate of the old one in the same time.
func (c *Clearance) Observe(calls, bad uint64, oldRate float64) {
	rate := min(oldRate, highestRate-c.margin/2)
	c.log += logRatio(calls, bad, min(rate+c.margin, highestRate), rate)
	c.log = min(c.log, clearanceCeiling)
	c.calls += calls
	c.bad += bad
}

// Cleared reports whether a version that is worse by the margin would look as good as this with a probability of
// the miss rate at most, as far as the old version's rate is known.
func (c *Clearance) Cleared(missRate float64) bool {
	return c.log <= math.Log(missRate)
}

// ClearedOnce is Cleared for a single look at all calls: by the binomial distribution, a version that is worse by the
// margin would have as few bad calls with a probability of the miss rate at most. It needs fewer calls, and must not be
// asked repeatedly until it holds.
func (c *Clearance) ClearedOnce(missRate, oldRate float64) bool {
	return binomialTail(c.calls, c.bad, min(oldRate+c.margin, highestRate)) <= missRate
}

// binomialTail is the probability of at most the given count of bad calls.
func binomialTail(calls, bad uint64, rate float64) float64 {
	sum := 0.0
	term := float64(calls) * math.Log1p(-rate)
	for k := uint64(0); k <= min(bad, calls); k++ {
		sum += math.Exp(term)
		term += math.Log(float64(calls-k)/float64(k+1)) + math.Log(rate/(1-rate))
	}
	return sum
}

// Log returns the logarithm of the likelihood ratio, worse against alike; below 0 the new version looks alike.
func (c *Clearance) Log() float64 { return c.log }

// Calls returns the count of calls of the new version, and how many were bad.
func (c *Clearance) Calls() (calls, bad uint64) { return c.calls, c.bad }

// Reset forgets the evidence, as at the start of a stage.
func (c *Clearance) Reset() {
	*c = Clearance{margin: c.margin}
}
