package sequential

import "math"

// Crashes gathers evidence that backend servers of the new version crash more often, relative to their calls.
//
// If both versions crash equally often per call, the probability that a crash is one of the new version equals its share
// of the calls. The alternative hypotheses multiply the odds of this by the given ratios.
type Crashes struct {
	oddsRatios []float64
	mixtures   []mixture
}

// NewCrashes returns a test for the given ratios of the odds. The horizon is the number of crashes within which a
// regression is expected to start.
func NewCrashes(oddsRatios []float64, horizon int) *Crashes {
	c := &Crashes{oddsRatios: oddsRatios}
	for range oddsRatios {
		c.mixtures = append(c.mixtures, newMixture(horizon))
	}
	return c
}

// Observe adds one crash. share is the new version's share of the calls; a crash is ignored if it is not between 0 and 1,
// both excluded.
func (c *Crashes) Observe(newVersion bool, share float64) {
	if share <= 0 || share >= 1 {
		return
	}
	for i, oddsRatio := range c.oddsRatios {
		raisedShare := oddsRatio * share / (oddsRatio*share + 1 - share)
		factor := math.Log((1 - raisedShare) / (1 - share))
		if newVersion {
			factor = math.Log(raisedShare / share)
		}
		c.mixtures[i].multiply(factor)
	}
}

// LogEvidence returns the natural logarithm of the evidence; 0 at the start.
func (c *Crashes) LogEvidence() float64 {
	total := math.Inf(-1)
	logCount := math.Log(float64(len(c.mixtures)))
	for i := range c.mixtures {
		total = addLogs(total, c.mixtures[i].logEvidence()-logCount)
	}
	return total
}
