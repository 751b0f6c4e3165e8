package control

import (
	"context"
	"path/filepath"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"samphireflow/internal/bench"
)

const (
	idleTime      = 5 * time.Second
	idleInstances = 3
)

// measureIdle measures the idle cost of a group, per instance.
func measureIdle(ctx context.Context, dir string) ([]bench.Result, error) {
	g, err := startGroup(ctx, filepath.Join(dir, "idle"), idleInstances, snapshotsDisabled)
	defer g.close()
	if err != nil {
		return nil, err
	}
	runtime.GC()
	before, err := processorTime()
	if err != nil {
		return nil, err
	}
	bytesBefore, started := g.traffic.Load(), time.Now()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(idleTime):
	}
	after, err := processorTime()
	if err != nil {
		return nil, err
	}
	seconds := time.Since(started).Seconds()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	share := func(value float64) float64 { return value / idleInstances }
	return []bench.Result{
		bench.Figure("control/idle/processor", share(100*(after-before).Seconds()/seconds), "% of a core"),
		bench.Figure("control/idle/heap", share(float64(memory.HeapInuse)/(1<<20)), "MB"),
		bench.Figure("control/idle/log-traffic", share(float64(g.traffic.Load()-bytesBefore)/seconds), "B/s"),
	}, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
