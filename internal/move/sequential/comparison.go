package sequential

import "math"

const highestRate = 0.99

// Comparison gathers evidence that the new version has a higher rate of bad calls than the old one.
type Comparison struct {
	rises    []float64
	mixtures []mixture
}

// NewComparison returns a test for rises of the rate, each from 0 to 1. The horizon is the expected count of blocks.
func NewComparison(rises []float64, horizon int) *Comparison {
	c := &Comparison{rises: rises}
	for range rises {
		c.mixtures = append(c.mixtures, newMixture(horizon))
	}
	return c
}

// Observe takes in one block. The rate of the old version is an estimate from earlier blocks; it sets the power of
// the test and not its validity. A block in which one version has no calls says nothing.
func (c *Comparison) Observe(block Block, oldRate float64) {
	if !block.Comparable() {
		return
	}
	for i, rise := range c.rises {
		c.mixtures[i].multiply(logFactor(block, oldRate, rise))
	}
}

// logFactor is the E-variable for a block: the likelihood under the rise against that under the nearest common rate.
func logFactor(block Block, oldRate, rise float64) float64 {
	newRate := min(oldRate+rise, highestRate)
	calls := float64(block.NewCalls + block.OldCalls)
	common := (float64(block.NewCalls)*newRate + float64(block.OldCalls)*oldRate) / calls
	return logRatio(block.NewCalls, block.NewBad, newRate, common) + logRatio(block.OldCalls, block.OldBad, oldRate, common)
}

// ObserveAgainst takes in calls of the new version alone, compared with a fixed rate. It is for the time in which the
// old version has no calls; its evidence holds only as far as the fixed rate does.
func (c *Comparison) ObserveAgainst(calls, bad uint64, rate float64) {
	if calls == 0 {
		return
	}
	for i, rise := range c.rises {
		c.mixtures[i].multiply(logRatio(calls, bad, min(rate+rise, highestRate), min(rate, highestRate)))
	}
}

// logRatio is the logarithm of the likelihood ratio of two rates.
func logRatio(calls, bad uint64, rate, against float64) float64 {
	good := float64(calls - bad)
	return float64(bad)*math.Log(rate/against) + good*math.Log((1-rate)/(1-against))
}

// Log returns the natural logarithm of the evidence; 0 at the start.
func (c *Comparison) Log() float64 {
	total := math.Inf(-1)
	share := math.Log(float64(len(c.mixtures)))
	for i := range c.mixtures {
		total = addLogs(total, c.mixtures[i].log()-share)
	}
	return total
}
