package sequential

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// binomial draws a random number of bad calls.
func binomial(random *rand.Rand, calls uint64, rate float64) uint64 {
	var bad uint64
	for range calls {
		if random.Float64() < rate {
			bad++
		}
	}
	return bad
}

// highestEvidence runs a Comparison over random blocks and returns the highest evidence, as a logarithm.
func highestEvidence(random *rand.Rand, blocks int, newCalls, oldCalls uint64, rates func(i int) (newRate, oldRate float64)) float64 {
	test := NewComparison([]float64{0.02, 0.1, 0.5}, blocks)
	old := NewRate(2000)
	highest := 0.0
	for i := range blocks {
		newRate, oldRate := rates(i)
		block := Block{NewCalls: newCalls, NewBad: binomial(random, newCalls, newRate), OldCalls: oldCalls, OldBad: binomial(random, oldCalls, oldRate)}
		test.Observe(block, old.Mean())
		old.Add(block.OldCalls, block.OldBad)
		highest = max(highest, test.LogEvidence())
	}
	return highest
}

// TestFactorExpectationIsAtMostOne sums over all outcomes of a block. An expectation above one for any common rate would
// break the bound on false alarms.
func TestFactorExpectationIsAtMostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newCalls := rapid.Uint64Range(1, 8).Draw(t, "new calls")
		oldCalls := rapid.Uint64Range(1, 8).Draw(t, "old calls")
		common := rapid.Float64Range(0.001, 0.999).Draw(t, "common rate")
		estimate := rapid.Float64Range(0.001, 0.9).Draw(t, "estimated rate")
		rise := rapid.Float64Range(0.01, 0.9).Draw(t, "rise")
		sum := 0.0
		for newBad := range newCalls + 1 {
			for oldBad := range oldCalls + 1 {
				block := Block{newCalls, newBad, oldCalls, oldBad}
				sum += binomialProbability(newCalls, newBad, common) * binomialProbability(oldCalls, oldBad, common) * math.Exp(logFactor(block, estimate, rise))
			}
		}
		if sum > 1+1e-9 {
			t.Fatalf("expectation %v", sum)
		}
	})
}

func binomialProbability(calls, bad uint64, rate float64) float64 {
	choose := 1.0
	for i := range bad {
		choose *= float64(calls-i) / float64(i+1)
	}
	return choose * math.Pow(rate, float64(bad)) * math.Pow(1-rate, float64(calls-bad))
}

// TestFalseAlarmRateIsBounded gives both versions the same rate, which rises for a time, so that every alarm is false.
func TestFalseAlarmRateIsBounded(t *testing.T) {
	const runs, bound = 400, 0.05
	random := rand.New(rand.NewPCG(1, 2))
	alarms := 0
	for range runs {
		highest := highestEvidence(random, 300, 2, 20, func(i int) (float64, float64) {
			rate := 0.002
			if i > 100 && i < 160 {
				rate = 0.4
			}
			return rate, rate
		})
		if highest >= math.Log(1/bound) {
			alarms++
		}
	}
	require.LessOrEqual(t, alarms, int(runs*bound))
}

func TestLateRegressionIsDetected(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	found := 0
	for range 100 {
		highest := highestEvidence(random, 400, 2, 20, func(i int) (float64, float64) {
			if i > 300 {
				return 0.3, 0.002
			}
			return 0.002, 0.002
		})
		if highest >= math.Log(200) {
			found++
		}
	}
	require.GreaterOrEqual(t, found, 99)
}

func TestCrashesOfNewVersionAreDetected(t *testing.T) {
	bad, fair := NewCrashes([]float64{5, 50}, 100), NewCrashes([]float64{5, 50}, 100)
	for range 5 {
		bad.Observe(true, 0.05)
	}
	for i := range 20 {
		fair.Observe(i == 7, 0.05)
	}
	require.Greater(t, bad.LogEvidence(), math.Log(100.0))
	require.Less(t, fair.LogEvidence(), math.Log(20.0))
}

func TestNonInferiorityNeedsEnoughCalls(t *testing.T) {
	test := NewNonInferiority(0.02)
	test.Observe(100, 0, 0.001)
	require.False(t, test.Passed(0.05))
	test.Observe(100, 0, 0.001)
	require.True(t, test.Passed(0.05))
	test.Observe(100, 10, 0.001)
	require.False(t, test.Passed(0.5))
}
