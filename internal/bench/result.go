// Package bench holds the form of measurements and the table that shows them.
package bench

import (
	"context"
)

// Result is one measured figure.
type Result struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Target is the bound that was asked for; nil when there is none.
	Target *float64 `json:"target"`
	// Meets says whether the value meets the target; nil when there is none.
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

// AtMost returns a result that meets its target when it is not above it.
func AtMost(name string, value float64, unit string, target float64) Result {
	return withTarget(name, value, unit, target, value <= target)
}

// AtLeast returns a result that meets its target when it is not below it.
func AtLeast(name string, value float64, unit string, target float64) Result {
	return withTarget(name, value, unit, target, value >= target)
}

func withTarget(name string, value float64, unit string, target float64, meets bool) Result {
	return Result{Name: name, Value: value, Unit: unit, Target: &target, Meets: &meets}
}
