package sequential

import "math"

// maxRate caps assumed rates below 1, so that their logarithms stay finite.
const maxRate = 0.99

// Comparison gathers evidence that the new version has a higher rate of bad calls than the old one. It averages one
// mixture for each rise of the rate.
type Comparison struct {
	rises    []float64
	mixtures []mixture
}

// NewComparison returns a test for the given rises of the rate, each from 0 to 1. The horizon is the number of blocks
// within which a regression is expected to start.
func NewComparison(rises []float64, horizon int) *Comparison {
	c := &Comparison{rises: rises}
	for range rises {
		c.mixtures = append(c.mixtures, newMixture(horizon))
	}
	return c
}

// Observe adds one block. oldRate is an estimate of the old version's rate from earlier blocks. It affects the power of the
// test but not its validity. A block without calls of one version is ignored.
func (c *Comparison) Observe(block Block, oldRate float64) {
	if !block.Comparable() {
		return
	}
	for i, rise := range c.rises {
		c.mixtures[i].multiply(logFactor(block, oldRate, rise))
	}
}

// logFactor is the logarithm of the E-variable of a block: the ratio of the likelihood under the rise to that under the
// nearest common rate of both versions.
func logFactor(block Block, oldRate, rise float64) float64 {
	newRate := min(oldRate+rise, maxRate)
	calls := float64(block.NewCalls + block.OldCalls)
	commonRate := (float64(block.NewCalls)*newRate + float64(block.OldCalls)*oldRate) / calls
	return logLikelihoodRatio(block.NewCalls, block.NewBad, newRate, commonRate) + logLikelihoodRatio(block.OldCalls, block.OldBad, oldRate, commonRate)
}

// ObserveAgainst compares calls of the new version with a fixed rate, for the time in which the old version has no calls.
// Its evidence is only as valid as the fixed rate.
func (c *Comparison) ObserveAgainst(calls, bad uint64, rate float64) {
	if calls == 0 {
		return
	}
	for i, rise := range c.rises {
		c.mixtures[i].multiply(logLikelihoodRatio(calls, bad, min(rate+rise, maxRate), min(rate, maxRate)))
	}
}

// logLikelihoodRatio is the logarithm of the ratio of the likelihood under rate to that under baseRate.
func logLikelihoodRatio(calls, bad uint64, rate, baseRate float64) float64 {
	good := float64(calls - bad)
	return float64(bad)*math.Log(rate/baseRate) + good*math.Log((1-rate)/(1-baseRate))
}

// LogEvidence returns the natural logarithm of the evidence; 0 at the start.
func (c *Comparison) LogEvidence() float64 {
	total := math.Inf(-1)
	logCount := math.Log(float64(len(c.mixtures)))
	for i := range c.mixtures {
		total = addLogs(total, c.mixtures[i].logEvidence()-logCount)
	}
	return total
}
