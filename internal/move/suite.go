package move

import (
	"math"

	"samphireflow/internal/move/sequential"
)

// Shares of a suite's weight that its tests have.
const (
	errorsWeight = 0.5
	medianWeight = 0.25
	tailWeight   = 0.25
)

// suite is the tests that look for badness in one set of calls.
type suite struct {
	// subject says which calls these are, for reasons.
	subject string
	weight  float64
	errors  *sequential.Comparison
	median  *sequential.Comparison
	tail    *sequential.Comparison
}

func newSuite(subject string, weight, errorMargin float64, horizon int) *suite {
	errorRises := append([]float64{errorMargin}, largeErrorRises...)
	return &suite{
		subject: subject,
		weight:  weight,
		errors:  sequential.NewComparison(errorRises, horizon),
		median:  sequential.NewComparison(medianRises, horizon),
		tail:    sequential.NewComparison(tailRises, horizon),
	}
}

// alarms lists the evidence of the suite's tests.
func (s *suite) alarms() []alarm {
	return []alarm{
		{s.subject + " fail more often", s.errors.Log() + math.Log(s.weight*errorsWeight)},
		{s.subject + " are slower", s.median.Log() + math.Log(s.weight*medianWeight)},
		{s.subject + " are slow more often", s.tail.Log() + math.Log(s.weight*tailWeight)},
	}
}
