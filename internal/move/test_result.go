package move

import (
	"math"
)

// testResult is the weighted evidence of one test.
type testResult struct {
	// text describes the regression that the test looks for.
	text string
	// logEvidence is the natural logarithm of the evidence.
	logEvidence float64
}

// combine sums the evidence of all tests and takes the text of the test with the strongest evidence.
func combine(results []testResult) finding {
	strongest, sum := results[0], 0.0
	for _, r := range results {
		sum += math.Exp(r.logEvidence)
		if r.logEvidence > strongest.logEvidence {
			strongest = r
		}
	}
	return finding{math.Log(sum), strongest.text}
}
