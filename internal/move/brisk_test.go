package move

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// briskWorld plays a move of some seconds: calls at a rate, each failing or taking long as a version does at that time,
// reported and judged every 250 ms.
type briskWorld struct {
	rate    float64
	routes  int
	version func(at time.Duration, route int, share float64) (failRate, slowRate float64)
	old     func(at time.Duration) (failRate float64)
}

// briskResult is how the move ended.
type briskResult struct {
	state apiv1.MoveState
	at    time.Duration
	// exposed is the number of calls of the new version, all that of both.
	exposed, all int
	reason       string
}

const briskTick = 250 * time.Millisecond

func (w briskWorld) play(seed uint64, length time.Duration) briskResult {
	random := rand.New(rand.NewPCG(seed, 1))
	begin := time.UnixMilli(1_700_000_000_000)
	move := &apiv1.Move{
		Id: "m", FromVersion: "v1", ToVersion: "v2", StartedUnixMs: begin.UnixMilli(), DeadlineUnixMs: begin.Add(length).UnixMilli(),
		State: apiv1.MoveState_MOVE_STATE_RUNNING, ShareBp: 400, StageUnixMs: begin.UnixMilli(), Revision: 1,
		Policy: &apiv1.MovePolicy{WatchMs: uint64(length.Milliseconds() / 8)},
	}
	judge := newBriskJudge(begin, move)
	situation := &Situation{ReadyNew: 3, ReadyOld: 3, LastStart: begin.Add(-10 * time.Second)}
	result := briskResult{state: move.State}
	for at := time.Duration(0); at < 2*length; at += briskTick {
		now := begin.Add(at)
		calls := int(w.rate*briskTick.Seconds() + random.Float64())
		for range calls {
			route := random.IntN(max(w.routes, 1))
			share := float64(move.ShareBp) / fullShare
			side := OldVersion
			failRate, slowRate := w.old(at), 0.0
			if random.Float64() < share {
				side = NewVersion
				result.exposed++
				failRate, slowRate = w.version(at, route, share)
			}
			result.all++
			judge.Observe(now, side, fmt.Sprint(route), "hobart", oneCall(random, failRate, slowRate))
		}
		decision := judge.Decide(now, move, situation)
		if step := decision.Step; step != nil {
			move.State, move.ShareBp, move.Stage = step.State, step.ShareBp, step.Stage
			move.Revision++
			move.StageUnixMs = now.UnixMilli()
			result.state, result.at, result.reason = step.State, at, step.Reason
		}
		if move.State != apiv1.MoveState_MOVE_STATE_RUNNING && move.State != apiv1.MoveState_MOVE_STATE_WATCHING {
			return result
		}
	}
	return result
}

// oneCall takes about 100 ms, or eight times as long.
func oneCall(random *rand.Rand, failRate, slowRate float64) Counts {
	var counts Counts
	bucket := 9
	if random.Float64() < slowRate {
		bucket += 3
	}
	counts.Buckets[bucket+random.IntN(2)]++
	if random.Float64() < failRate {
		counts.Errors++
	} else {
		counts.OK++
	}
	return counts
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

const (
	briskSeeds = 40
	// exposureShare and exposureSlack bound the calls that a bad version may get, as the users' rules state them.
	exposureShare = 0.1
	exposureSlack = 50
)

func TestBriskGoodVersionIsDoneByItsDeadline(t *testing.T) {
	const length = 12 * time.Second
	for _, ambient := range []float64{0.005, 0.3} {
		done := 0
		for seed := range uint64(briskSeeds) {
			world := briskWorld{rate: 120, routes: 2, old: steady(ambient), version: func(time.Duration, int, float64) (float64, float64) { return ambient, 0 }}
			result := world.play(seed, length)
			if result.state == apiv1.MoveState_MOVE_STATE_DONE && result.at <= length {
				done++
			}
		}
		// What ails both versions must not be blamed on the new one.
		require.GreaterOrEqual(t, done, briskSeeds*9/10, "failures of both versions: %g", ambient)
	}
}

// TestBriskBadVersionIsTakenBack plays the ways in which a version is bad, and holds each to the exposure that the users'
// rules allow. A version that turns bad only under load may become whole before it shows; the nodes' own breakers, which
// this test leaves out, then act within some calls.
func TestBriskBadVersionIsTakenBack(t *testing.T) {
	const length = 12 * time.Second
	for name, version := range map[string]func(at time.Duration, route int, share float64) (float64, float64){
		"errors":    func(time.Duration, int, float64) (float64, float64) { return 0.5, 0 },
		"slow":      func(time.Duration, int, float64) (float64, float64) { return 0, 0.5 },
		"one route": func(_ time.Duration, route int, _ float64) (float64, float64) { return []float64{0.5, 0}[route], 0 },
		"late": func(at time.Duration, _ int, _ float64) (float64, float64) {
			return map[bool]float64{true: 0.5}[at > 5*time.Second], 0
		},
		"errors, weak": func(time.Duration, int, float64) (float64, float64) { return 0.35, 0 },
	} {
		for seed := range uint64(briskSeeds) {
			world := briskWorld{rate: 120, routes: 2, old: steady(0.01), version: version}
			result := world.play(seed, length)
			require.Equal(t, apiv1.MoveState_MOVE_STATE_TAKEN_BACK, result.state, "%s, seed %d: %s", name, seed, result.reason)
			all := 120 * length.Seconds()
			require.LessOrEqual(t, float64(result.exposed), exposureShare*all+exposureSlack, "%s, seed %d", name, seed)
		}
	}
}

func TestBriskThinEvidenceDoesNotBecomeWhole(t *testing.T) {
	world := briskWorld{rate: 2, old: steady(0), version: func(time.Duration, int, float64) (float64, float64) { return 0, 0 }}
	result := world.play(1, 12*time.Second)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_EXPIRED, result.state)
}

// TestBriskClockStepDoesNotEndAMove starts the judge of a move on an instance whose clock is an hour ahead.
func TestBriskClockStepDoesNotEndAMove(t *testing.T) {
	begin := time.UnixMilli(1_700_000_000_000)
	move := &apiv1.Move{StartedUnixMs: begin.UnixMilli(), DeadlineUnixMs: begin.Add(12 * time.Second).UnixMilli(), ShareBp: 400, State: apiv1.MoveState_MOVE_STATE_RUNNING, Policy: &apiv1.MovePolicy{}}
	ahead := begin.Add(time.Hour)
	judge := newBriskJudge(ahead, move)
	require.Nil(t, judge.Decide(ahead.Add(time.Second), move, &Situation{ReadyNew: 1}).Step)
}
