package control

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"samphireflow/internal/bench"
)

// workDir holds the data folders of a run. It must be on a real disk, because syncs elsewhere may cost nothing.
const workDir = ".run"

// Run runs all measurements. It returns the results so far also after an error.
func Run(ctx context.Context, _ int64) ([]bench.Result, error) {
	if err := os.MkdirAll(workDir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the work folder")
	}
	dir, err := os.MkdirTemp(workDir, "bench-control-")
	if err != nil {
		return nil, errors.Wrap(err, "create a temporary folder")
	}
	defer os.RemoveAll(dir)
	var all []bench.Result
	for _, measure := range []func(context.Context, string) ([]bench.Result, error){measureCommits, measureLeaderless, measureRestarts, measureIdle} {
		results, err := measure(ctx, dir)
		all = append(all, results...)
		if err != nil {
			return all, err
		}
	}
	return all, ctx.Err()
}
