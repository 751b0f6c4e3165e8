package sequential

import "math"

// Deaths gathers evidence that backend servers of the new version die more often for the calls that they get.
//
// Under the hypothesis that both versions die alike, a death hits the new one with the probability of its share of
// calls; the alternative multiplies the odds.
type Deaths struct {
	odds     []float64
	mixtures []mixture
}

// NewDeaths returns a test for the given multiples of the odds.
func NewDeaths(odds []float64, horizon int) *Deaths {
	d := &Deaths{odds: odds}
	for range odds {
		d.mixtures = append(d.mixtures, newMixture(horizon))
	}
	return d
}

// Observe takes in one death. The share of calls that the new version gets is from 0 to 1, both excluded.
func (d *Deaths) Observe(ofNew bool, share float64) {
	if share <= 0 || share >= 1 {
		return
	}
	for i, odds := range d.odds {
		raised := odds * share / (odds*share + 1 - share)
		factor := math.Log((1 - raised) / (1 - share))
		if ofNew {
			factor = math.Log(raised / share)
		}
		d.mixtures[i].multiply(factor)
	}
}

// Log returns the natural logarithm of the evidence; 0 at the start.
func (d *Deaths) Log() float64 {
	total := math.Inf(-1)
	share := math.Log(float64(len(d.mixtures)))
	for i := range d.mixtures {
		total = addLogs(total, d.mixtures[i].log()-share)
	}
	return total
}
