package main

import (
	"samphireflow/internal/bench"
	"samphireflow/internal/bench/control"
	"samphireflow/internal/bench/distribution"
	"samphireflow/internal/bench/moves"
	"samphireflow/internal/bench/traffic"
)

// suites returns all benchmark suites in the order in which they run.
func suites() []bench.Suite {
	return []bench.Suite{
		{Name: "control", Run: control.Run},
		{Name: "distribution", Run: distribution.Run},
		moves.Suite(),
		moves.ThresholdSuite(),
		traffic.Suite(),
	}
}
