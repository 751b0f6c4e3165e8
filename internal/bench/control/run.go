package control

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"samphireflow/internal/bench"
)

// workFolder holds the data folders of a run; it must be on a real disk for syncs to count.
const workFolder = ".run"

// Run measures everything. It returns what was measured also after an error.
func Run(ctx context.Context, _ int64) ([]bench.Result, error) {
	if err := os.MkdirAll(workFolder, 0o755); err != nil {
		return nil, errors.Wrap(err, "make the work folder")
	}
	dir, err := os.MkdirTemp(workFolder, "bench-control-")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder")
	}
	defer os.RemoveAll(dir)
	var all []bench.Result
	for _, part := range []func(context.Context, string) ([]bench.Result, error){measureCommits, measureLeaderless, measureRestarts, measureIdle} {
		results, err := part(ctx, dir)
		all = append(all, results...)
		if err != nil {
			return all, err
		}
	}
	return all, ctx.Err()
}
