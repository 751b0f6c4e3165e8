// Package bench defines the results of benchmarks and writes them as a table and as JSON.
package bench

import (
	"context"
)

// Result is one measured value.
type Result struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Target is the required bound; nil means none.
	Target *float64 `json:"target"`
	// Meets says whether the value meets the target; nil without a target.
	Meets   *bool  `json:"meets"`
	Seed    int64  `json:"seed"`
	Command string `json:"command"`
}

// Suite is a set of measurements that run together.
type Suite struct {
	Name string
	Run  func(ctx context.Context, seed int64) ([]Result, error)
}

// Figure returns a result without a target.
func Figure(name string, value float64, unit string) Result {
	return Result{Name: name, Value: value, Unit: unit}
}

// AtMost returns a result that meets its target if the value doesn't exceed it.
func AtMost(name string, value float64, unit string, target float64) Result {
	return withTarget(name, value, unit, target, value <= target)
}

// AtLeast returns a result that meets its target if the value doesn't fall below it.
func AtLeast(name string, value float64, unit string, target float64) Result {
	return withTarget(name, value, unit, target, value >= target)
}

func withTarget(name string, value float64, unit string, target float64, meets bool) Result {
	return Result{Name: name, Value: value, Unit: unit, Target: &target, Meets: &meets}
}
