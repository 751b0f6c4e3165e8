package control

import (
	"context"
	"fmt"
	"time"

	"samphireflow/internal/bench"
)

const (
	// blockDuration is how long the log and the baseline each run before they alternate.
	blockDuration = 500 * time.Millisecond
	blocks        = 3
	// snapshotsDisabled is a snapshot interval that no measurement reaches.
	snapshotsDisabled = 1 << 40
	// ratioTarget bounds the median latency of three instances with one operator, as a multiple of the plain file's.
	ratioTarget = 2.0
)

// measureCommits measures 3, 5 and 7 instances with 1, 8 and 64 operators, alternating with the plain file.
func measureCommits(ctx context.Context, dir string) ([]bench.Result, error) {
	plain, err := openPlainFile(dir)
	if err != nil {
		return nil, err
	}
	var all []bench.Result
	for _, size := range []int{3, 5, 7} {
		results, err := measureSize(ctx, dir, size, plain)
		all = append(all, results...)
		if err != nil {
			return all, err
		}
	}
	return all, nil
}

func measureSize(ctx context.Context, dir string, size int, plain *plainFile) ([]bench.Result, error) {
	g, err := startGroup(ctx, dir, size, snapshotsDisabled)
	defer g.close()
	if err != nil {
		return nil, err
	}
	var all []bench.Result
	for _, count := range []int{1, 8, 64} {
		log, baseline := newEditStats(), newEditStats()
		logOperators := newOperators(fmt.Sprintf("log-%d-%d", size, count), count)
		plainOperators := newOperators(fmt.Sprintf("plain-%d-%d", size, count), count)
		for block := 0; block < blocks; block++ {
			if err := runBlock(ctx, plain, plainOperators, baseline); err != nil {
				return all, err
			}
			if err := runBlock(ctx, g, logOperators, log); err != nil {
				return all, err
			}
		}
		all = append(all, commitResults(size, count, log, baseline)...)
	}
	return all, nil
}

func runBlock(ctx context.Context, target proposer, operators []*operator, total *editStats) error {
	stats, err := runOperators(ctx, target, operators, blockDuration)
	if err != nil {
		return err
	}
	total.add(stats)
	return nil
}

func commitResults(size, operators int, log, baseline *editStats) []bench.Result {
	name := fmt.Sprintf("control/commit/%d-instances/%d-operators/", size, operators)
	ratio := log.latencyMillis(50) / baseline.latencyMillis(50)
	ratioResult := bench.Figure(name+"p50-against-plain-file", ratio, "ratio")
	if size == 3 && operators == 1 {
		ratioResult = bench.AtMost(name+"p50-against-plain-file", ratio, "ratio", ratioTarget)
	}
	return []bench.Result{
		bench.Figure(name+"edits", log.editsPerSecond(), "1/s"),
		bench.Figure(name+"p50", log.latencyMillis(50), "ms"),
		bench.Figure(name+"p99", log.latencyMillis(99), "ms"),
		bench.Figure(name+"plain-file/edits", baseline.editsPerSecond(), "1/s"),
		bench.Figure(name+"plain-file/p50", baseline.latencyMillis(50), "ms"),
		bench.Figure(name+"plain-file/p99", baseline.latencyMillis(99), "ms"),
		ratioResult,
	}
}
