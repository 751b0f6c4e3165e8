package traffic

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"samphireflow/internal/bench"
)

const (
	// envBin names the environment variable that holds the folder of the programs.
	envBin = "SAMPHIREFLOW_BIN"
	// defaultBin is where `make build` puts them.
	defaultBin = ".run/bin"
)

// measurement is one part of the suite.
type measurement func(ctx context.Context, seed int64) ([]bench.Result, error)

// Suite returns the measurements of traffic.
func Suite() bench.Suite {
	return bench.Suite{Name: "traffic", Run: Run}
}

// Run runs all measurements. It returns the results so far also after an error.
func Run(ctx context.Context, seed int64) ([]bench.Result, error) {
	var results []bench.Result
	for _, measure := range []measurement{measureAddedLatency, measureChain, measureOverload, measureAmplification, measureClaimMemory, measureInFlightMemory, measureCrashes} {
		more, err := measure(ctx, seed)
		results = append(results, more...)
		if err != nil {
			return results, errors.WithMessage(err, "traffic")
		}
	}
	return results, nil
}

func binDir() string {
	if dir := os.Getenv(envBin); dir != "" {
		return dir
	}
	return defaultBin
}
