// Command bench runs the measurements of the project and writes them down.
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
	chosen, err := choose(suites(), only)
	if err != nil {
		return err
	}
	for _, suite := range chosen {
		if err := runSuite(ctx, suite, seed, out); err != nil {
			return errors.WithMessage(err, suite.Name)
		}
	}
	return nil
}

func choose(all []bench.Suite, only string) ([]bench.Suite, error) {
	if only == "" {
		return all, nil
	}
	byName := map[string]bench.Suite{}
	for _, suite := range all {
		byName[suite.Name] = suite
	}
	var chosen []bench.Suite
	for _, name := range strings.Split(only, ",") {
		suite, ok := byName[name]
		if !ok {
			return nil, errors.Errorf("there is no suite %q", name)
		}
		chosen = append(chosen, suite)
	}
	return chosen, nil
}

// runSuite writes down what was measured also when the suite fails in the middle.
func runSuite(ctx context.Context, suite bench.Suite, seed int64, out string) error {
	results, failed := suite.Run(ctx, seed)
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
	return failed
}
