package sequential

import "math"

// immediateWeight is the weight of a regression that is there from the first block on.
const immediateWeight = 0.5

// mixture is a test martingale that is a mixture over the block at which a regression starts. Its weights and evidence are
// natural logarithms.
type mixture struct {
	// horizon is the number of blocks after the first over which the weight of later starts is spread.
	horizon int
	// blocks is the number of blocks so far.
	blocks int
	// logStarted is the part of the mixture for starts up to the last block.
	logStarted float64
}

func newMixture(horizon int) mixture {
	return mixture{horizon: max(horizon, 1), logStarted: math.Inf(-1)}
}

// multiply applies the factor of one block.
func (m *mixture) multiply(logFactor float64) {
	m.logStarted = addLogs(m.logStarted, m.logStartWeight()) + logFactor
	m.blocks++
}

// logStartWeight is the weight of a regression that starts with the next block.
func (m *mixture) logStartWeight() float64 {
	if m.blocks == 0 {
		return math.Log(immediateWeight)
	}
	if m.blocks > m.horizon {
		return math.Inf(-1)
	}
	return math.Log((1 - immediateWeight) / float64(m.horizon))
}

// logEvidence returns the logarithm of the martingale, which includes the weight of starts that are still to come.
func (m *mixture) logEvidence() float64 {
	return addLogs(m.logStarted, m.logPending())
}

// logPending is the weight of starts after the last block.
func (m *mixture) logPending() float64 {
	if m.blocks == 0 {
		return 0
	}
	blocksLeft := max(m.horizon-m.blocks+1, 0)
	return math.Log((1 - immediateWeight) * float64(blocksLeft) / float64(m.horizon))
}

// addLogs returns log(exp(a) + exp(b)).
func addLogs(a, b float64) float64 {
	high, low := max(a, b), min(a, b)
	if math.IsInf(high, -1) {
		return high
	}
	return high + math.Log1p(math.Exp(low-high))
}
