package sequential

import "math"

// firstWeight is the weight of badness that is there from the first block on.
const firstWeight = 0.5

// mixture is a test martingale that is a mixture over the block at which the change comes. All values are
// natural logarithms.
type mixture struct {
	// horizon is the count of blocks over which the weight of later starts is spread.
	horizon int
	blocks  int
	// started is the part of the mixture that has started to bet.
	started float64
}

func newMixture(horizon int) mixture {
	return mixture{horizon: max(horizon, 1), started: math.Inf(-1)}
}

// multiply takes in the factor of one block.
func (m *mixture) multiply(logFactor float64) {
	m.started = addLogs(m.started, m.startWeight()) + logFactor
	m.blocks++
}

// startWeight is the weight of the hypothesis that the change comes with the next block.
func (m *mixture) startWeight() float64 {
	if m.blocks == 0 {
		return math.Log(firstWeight)
	}
	if m.blocks > m.horizon {
		return math.Inf(-1)
	}
	return math.Log((1 - firstWeight) / float64(m.horizon))
}

// log returns the logarithm of the martingale: what has started and what has not.
func (m *mixture) log() float64 {
	return addLogs(m.started, m.waiting())
}

func (m *mixture) waiting() float64 {
	if m.blocks == 0 {
		return 0
	}
	left := max(m.horizon-m.blocks+1, 0)
	return math.Log((1 - firstWeight) * float64(left) / float64(m.horizon))
}

// addLogs returns log(exp(a) + exp(b)).
func addLogs(a, b float64) float64 {
	high, low := max(a, b), min(a, b)
	if math.IsInf(high, -1) {
		return high
	}
	return high + math.Log1p(math.Exp(low-high))
}
