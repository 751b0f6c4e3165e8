package moves

import (
	"context"
	"sort"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/bench"
	"samphireflow/internal/tree"
)

const (
	// movesPerKind is the count of moves of each kind and workload.
	movesPerKind = 200
	// endTarget is the share of moves that end as they should.
	endTarget = 0.99
)

// Suite measures moves of all kinds for both users.
func Suite() bench.Suite {
	return bench.Suite{Name: "moves", Run: func(ctx context.Context, seed int64) ([]bench.Result, error) {
		return measure(ctx, uint64(seed), movesPerKind)
	}}
}

// SimpleSuite measures the same moves under a simple judge of thresholds, to compare with.
func SimpleSuite() bench.Suite {
	return bench.Suite{Name: "moves-threshold", Run: func(ctx context.Context, seed int64) ([]bench.Result, error) {
		var all []bench.Result
		for _, w := range workloads() {
			all = append(all, measureAll(ctx, "moves/"+w.name+"/threshold", w, uint64(seed), movesPerKind, newThreshold)...)
		}
		return all, ctx.Err()
	}}
}

func measure(ctx context.Context, seed uint64, count int) ([]bench.Result, error) {
	var all []bench.Result
	for _, w := range workloads() {
		results, err := measureWorkload(ctx, w, seed, count)
		if err != nil {
			return all, err
		}
		all = append(all, results...)
	}
	return all, nil
}

func measureWorkload(ctx context.Context, w workload, seed uint64, count int) ([]bench.Result, error) {
	var figures []bench.Result
	for _, m := range append(goodModes(), badModes()...) {
		results, err := runMany(ctx, w, m, seed, count, newJudged)
		if err != nil {
			return figures, err
		}
		figures = append(figures, figuresOf("moves/"+w.name+"/"+m.name, m, results)...)
	}
	if w.night {
		advance := w
		advance.thinEvidence = tree.ThinEvidenceAdvance
		figures = append(figures, measureAll(ctx, "moves/"+w.name+"/rule-advance", advance, seed, count, newJudged)...)
	}
	figures = append(figures, measureAll(ctx, "moves/"+w.name+"/baseline-clock", w, seed, count, newClocked)...)
	return figures, ctx.Err()
}

// measureAll sums all kinds of good moves, and all kinds of bad ones.
func measureAll(ctx context.Context, name string, w workload, seed uint64, count int, steer func() steering) []bench.Result {
	var good, bad []result
	for _, m := range goodModes() {
		results, _ := runMany(ctx, w, m, seed, count, steer)
		good = append(good, results...)
	}
	for _, m := range badModes() {
		results, _ := runMany(ctx, w, m, seed, count, steer)
		bad = append(bad, results...)
	}
	return []bench.Result{
		bench.Figure(name+"/good-whole-in-time", share(good, wholeInTime), "share"),
		bench.Figure(name+"/good-blamed", share(good, wasBlamed), "share"),
		bench.Figure(name+"/bad-taken-back", share(bad, wasTakenBack), "share"),
		bench.Figure(name+"/bad-answers", badAnswerShare(bad), "share"),
	}
}

func figuresOf(name string, m mode, results []result) []bench.Result {
	if !m.bad {
		return []bench.Result{
			bench.AtLeast(name+"/whole-in-time", share(results, wholeInTime), "share", endTarget),
			bench.AtMost(name+"/blamed", share(results, wasBlamed), "share", 1-endTarget),
		}
	}
	return []bench.Result{
		bench.AtLeast(name+"/taken-back", share(results, wasTakenBack), "share", endTarget),
		bench.Figure(name+"/bad-answers", badAnswerShare(results), "share"),
		bench.Figure(name+"/exposure-median", exposure(results, 0.5).Seconds(), "s"),
		bench.Figure(name+"/exposure-p95", exposure(results, 0.95).Seconds(), "s"),
	}
}

func wholeInTime(r *result) bool { return r.inTime }

func wasTakenBack(r *result) bool { return r.takenBack() }

// wasBlamed is for good versions: the move was taken back on evidence, and did not just expire.
func wasBlamed(r *result) bool { return r.state == apiv1.MoveState_MOVE_STATE_TAKEN_BACK }

func share(results []result, holds func(*result) bool) float64 {
	count := 0
	for i := range results {
		if holds(&results[i]) {
			count++
		}
	}
	return float64(count) / float64(max(len(results), 1))
}

// badAnswerShare is the share of all calls in the moves that the new version answered badly.
func badAnswerShare(results []result) float64 {
	bad, calls := 0, 0
	for i := range results {
		bad += results[i].badAnswers
		calls += results[i].calls
	}
	return float64(bad) / float64(max(calls, 1))
}

// exposure is a quantile of the time from the first bad answer to the last call of the new version.
func exposure(results []result, quantile float64) time.Duration {
	var times []time.Duration
	for i := range results {
		if results[i].badAnswers > 0 {
			times = append(times, results[i].exposure())
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	return times[int(quantile*float64(len(times)-1))]
}
