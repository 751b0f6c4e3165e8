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
	// movesPerScenario is the number of moves for each scenario and workload.
	movesPerScenario = 200
	// correctEndTarget is the share of moves that must end correctly.
	correctEndTarget = 0.99
)

// Suite returns the measurement of moves in all scenarios for the workloads of both users.
func Suite() bench.Suite {
	return bench.Suite{Name: "moves", Run: func(ctx context.Context, seed int64) ([]bench.Result, error) {
		return measure(ctx, uint64(seed), movesPerScenario)
	}}
}

// ThresholdSuite measures the same moves under thresholdStrategy, for comparison.
func ThresholdSuite() bench.Suite {
	return bench.Suite{Name: "moves-threshold", Run: func(ctx context.Context, seed int64) ([]bench.Result, error) {
		var all []bench.Result
		for _, w := range workloads() {
			all = append(all, measureAll(ctx, "moves/"+w.name+"/threshold", w, uint64(seed), movesPerScenario, newThresholdStrategy)...)
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
	var all []bench.Result
	for _, s := range append(goodScenarios(), badScenarios()...) {
		results, err := runMoves(ctx, w, s, seed, count, newJudgeStrategy)
		if err != nil {
			return all, err
		}
		all = append(all, scenarioResults("moves/"+w.name+"/"+s.name, s, results)...)
	}
	if w.night {
		advance := w
		advance.thinEvidence = tree.ThinEvidenceAdvance
		all = append(all, measureAll(ctx, "moves/"+w.name+"/rule-advance", advance, seed, count, newJudgeStrategy)...)
	}
	all = append(all, measureAll(ctx, "moves/"+w.name+"/baseline-clock", w, seed, count, newClockStrategy)...)
	return all, ctx.Err()
}

// measureAll measures all good scenarios together and all bad scenarios together.
func measureAll(ctx context.Context, name string, w workload, seed uint64, count int, newStrategy func() strategy) []bench.Result {
	var good, bad []result
	for _, s := range goodScenarios() {
		results, _ := runMoves(ctx, w, s, seed, count, newStrategy)
		good = append(good, results...)
	}
	for _, s := range badScenarios() {
		results, _ := runMoves(ctx, w, s, seed, count, newStrategy)
		bad = append(bad, results...)
	}
	return []bench.Result{
		bench.Figure(name+"/good-whole-in-time", fraction(good, completedInTime), "share"),
		bench.Figure(name+"/good-blamed", fraction(good, isWronglyRolledBack), "share"),
		bench.Figure(name+"/bad-taken-back", fraction(bad, isRolledBack), "share"),
		bench.Figure(name+"/bad-answers", badResponseShare(bad), "share"),
	}
}

func scenarioResults(name string, s scenario, results []result) []bench.Result {
	if !s.bad {
		return []bench.Result{
			bench.AtLeast(name+"/whole-in-time", fraction(results, completedInTime), "share", correctEndTarget),
			bench.AtMost(name+"/blamed", fraction(results, isWronglyRolledBack), "share", 1-correctEndTarget),
		}
	}
	return []bench.Result{
		bench.AtLeast(name+"/taken-back", fraction(results, isRolledBack), "share", correctEndTarget),
		bench.Figure(name+"/bad-answers", badResponseShare(results), "share"),
		bench.Figure(name+"/exposure-median", exposureQuantile(results, 0.5).Seconds(), "s"),
		bench.Figure(name+"/exposure-p95", exposureQuantile(results, 0.95).Seconds(), "s"),
	}
}

func completedInTime(r *result) bool { return r.completedInTime }

func isRolledBack(r *result) bool { return r.rolledBack() }

// isWronglyRolledBack is meant for good versions: the move was rolled back because of evidence and did not just expire.
func isWronglyRolledBack(r *result) bool { return r.state == apiv1.MoveState_MOVE_STATE_TAKEN_BACK }

func fraction(results []result, matches func(*result) bool) float64 {
	count := 0
	for i := range results {
		if matches(&results[i]) {
			count++
		}
	}
	return float64(count) / float64(max(len(results), 1))
}

// badResponseShare is the share of all calls during the moves that the regression of the new version affected.
func badResponseShare(results []result) float64 {
	bad, calls := 0, 0
	for i := range results {
		bad += results[i].badResponses
		calls += results[i].calls
	}
	return float64(bad) / float64(max(calls, 1))
}

// exposureQuantile returns a quantile of the exposure over the moves that had a bad response.
func exposureQuantile(results []result, quantile float64) time.Duration {
	var times []time.Duration
	for i := range results {
		if results[i].badResponses > 0 {
			times = append(times, results[i].exposure())
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	return times[int(quantile*float64(len(times)-1))]
}
