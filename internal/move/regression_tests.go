package move

import (
	"math"

	"samphireflow/internal/move/sequential"
)

// Parts of the weight of a regressionTests that go to each of its tests.
const (
	errorsPart = 0.5
	medianPart = 0.25
	tailPart   = 0.25
)

// regressionTests holds the tests that detect whether the new version does worse in one set of calls: more errors, a
// higher median duration or a slower tail.
type regressionTests struct {
	// subject names the set of calls in the reason of a decision.
	subject string
	// weight is the part of the false-alarm rate that these tests may use.
	weight float64
	errors *sequential.Comparison
	median *sequential.Comparison
	tail   *sequential.Comparison
}

func newRegressionTests(subject string, weight, errorMargin float64, horizon int) *regressionTests {
	rises := append([]float64{errorMargin}, largeErrorRises...)
	return &regressionTests{
		subject: subject,
		weight:  weight,
		errors:  sequential.NewComparison(rises, horizon),
		median:  sequential.NewComparison(medianRises, horizon),
		tail:    sequential.NewComparison(tailRises, horizon),
	}
}

// results returns the weighted evidence of each test.
func (t *regressionTests) results() []testResult {
	return []testResult{
		{t.subject + " fail more often", t.errors.LogEvidence() + math.Log(t.weight*errorsPart)},
		{t.subject + " are slower", t.median.LogEvidence() + math.Log(t.weight*medianPart)},
		{t.subject + " are slow more often", t.tail.LogEvidence() + math.Log(t.weight*tailPart)},
	}
}
