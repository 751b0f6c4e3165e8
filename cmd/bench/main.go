// Command bench runs the benchmark suites of the project and saves their results.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"samphireflow/internal/bench"
)

func main() {
	seed := flag.Int64("seed", 1, "seed of all random choices")
	only := flag.String("only", "", "suites to run, separated by commas; all when empty")
	out := flag.String("out", "bench/results.json", "file of the results")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, *only, *seed, *out); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, only string, seed int64, out string) error {
	selected, err := selectSuites(suites(), only)
	if err != nil {
		return err
	}
	for _, suite := range selected {
		if err := runSuite(ctx, suite, seed, out); err != nil {
			return errors.WithMessage(err, suite.Name)
		}
	}
	return nil
}

func selectSuites(all []bench.Suite, only string) ([]bench.Suite, error) {
	if only == "" {
		return all, nil
	}
	byName := map[string]bench.Suite{}
	for _, suite := range all {
		byName[suite.Name] = suite
	}
	var selected []bench.Suite
	for _, name := range strings.Split(only, ",") {
		suite, ok := byName[name]
		if !ok {
			return nil, errors.Errorf("unknown suite %q", name)
		}
		selected = append(selected, suite)
	}
	return selected, nil
}

// runSuite runs a suite and saves its results. If the suite fails midway, it saves the results up to then.
func runSuite(ctx context.Context, suite bench.Suite, seed int64, out string) error {
	results, runErr := suite.Run(ctx, seed)
	for i := range results {
		results[i].Seed = seed
		results[i].Command = fmt.Sprintf("go run ./cmd/bench --only %s --seed %d", suite.Name, seed)
	}
	if err := bench.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	old, err := bench.ReadFile(out)
	if err != nil {
		return err
	}
	if err := bench.WriteFile(out, bench.Merge(old, results)); err != nil {
		return err
	}
	return runErr
}
