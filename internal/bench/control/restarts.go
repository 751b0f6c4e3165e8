package control

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/bench"
)

const (
	restartEdits     = 10_000
	restartOperators = 50
)

// measureRestarts measures the time of a restart after 10,000 edits, without and with a snapshot.
func measureRestarts(ctx context.Context, dir string) ([]bench.Result, error) {
	var all []bench.Result
	results, err := measureRestart(ctx, filepath.Join(dir, "without"), "without-snapshot", snapshotsDisabled)
	all = append(all, results...)
	if err != nil {
		return all, err
	}
	results, err = measureRestart(ctx, filepath.Join(dir, "with"), "with-snapshot", restartEdits)
	return append(all, results...), err
}

func measureRestart(ctx context.Context, dir, name string, snapshotEvery uint64) ([]bench.Result, error) {
	g, err := startGroup(ctx, dir, 1, snapshotEvery)
	defer g.close()
	if err != nil {
		return nil, err
	}
	if err := makeRestartEdits(ctx, g); err != nil {
		return nil, err
	}
	single := g.instances[0]
	applied := single.replica.Status().Applied
	if err := single.stop(); err != nil {
		return nil, err
	}
	logBytes, snapshotBytes, err := dataDirBytes(single.dir)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	if err := g.restart(single); err != nil {
		return nil, err
	}
	for single.replica.Status().Applied < applied {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
	prefix := "control/restart/10000-edits/" + name + "/"
	return []bench.Result{
		bench.Figure(prefix+"time", float64(time.Since(started).Microseconds())/1000, "ms"),
		bench.Figure(prefix+"log-bytes-per-edit", float64(logBytes)/restartEdits, "B"),
		bench.Figure(prefix+"snapshot-bytes-per-edit", float64(snapshotBytes)/restartEdits, "B"),
	}, nil
}

func makeRestartEdits(ctx context.Context, g *group) error {
	var mu sync.Mutex
	var failure error
	var running sync.WaitGroup
	for _, o := range newOperators("restart", restartOperators) {
		running.Go(func() {
			for i := 0; i < restartEdits/restartOperators; i++ {
				if err := o.edit(ctx, g); err != nil {
					mu.Lock()
					failure = err
					mu.Unlock()
					return
				}
			}
		})
	}
	running.Wait()
	return failure
}

// dataDirBytes returns the sizes of the log segments and of the snapshots in a data folder.
func dataDirBytes(dir string) (log, snapshots int64, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0, errors.Wrap(err, "read the data folder")
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			return 0, 0, errors.Wrap(err, "read the data folder")
		}
		switch {
		case strings.HasPrefix(entry.Name(), "log-"):
			log += info.Size()
		case strings.HasPrefix(entry.Name(), "snapshot-"):
			snapshots += info.Size()
		}
	}
	return log, snapshots, nil
}
