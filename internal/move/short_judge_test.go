package move

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// shortSimulation simulates a move of seconds: random calls that fail or are slow at the rates of their version at that
// time, reported and evaluated every 250 ms.
type shortSimulation struct {
	rate        float64
	routes      int
	newRates    func(at time.Duration, route int, share float64) (failRate, slowRate float64)
	oldFailRate func(at time.Duration) (failRate float64)
}

// shortResult is the last step of the simulated move, and its calls.
type shortResult struct {
	state apiv1.MoveState
	at    time.Duration
	// newCalls is the number of calls of the new version, allCalls that of both.
	newCalls, allCalls int
	reason             string
}

const shortTick = 250 * time.Millisecond

func (s shortSimulation) run(seed uint64, length time.Duration) shortResult {
	random := rand.New(rand.NewPCG(seed, 1))
	begin := time.UnixMilli(1_700_000_000_000)
	move := &apiv1.Move{
		Id: "m", FromVersion: "v1", ToVersion: "v2", StartedUnixMs: begin.UnixMilli(), DeadlineUnixMs: begin.Add(length).UnixMilli(),
		State: apiv1.MoveState_MOVE_STATE_RUNNING, ShareBp: 400, StageUnixMs: begin.UnixMilli(), Revision: 1,
		Policy: &apiv1.MovePolicy{WatchMs: uint64(length.Milliseconds() / 8)},
	}
	judge := newShortJudge(begin, move)
	status := &ServiceStatus{ReadyNew: 3, ReadyOld: 3, LastStart: begin.Add(-10 * time.Second)}
	result := shortResult{state: move.State}
	for at := time.Duration(0); at < 2*length; at += shortTick {
		now := begin.Add(at)
		calls := int(s.rate*shortTick.Seconds() + random.Float64())
		for range calls {
			route := random.IntN(max(s.routes, 1))
			share := float64(move.ShareBp) / fullShare
			side := OldVersion
			failRate, slowRate := s.oldFailRate(at), 0.0
			if random.Float64() < share {
				side = NewVersion
				result.newCalls++
				failRate, slowRate = s.newRates(at, route, share)
			}
			result.allCalls++
			judge.Observe(now, side, fmt.Sprint(route), "hobart", randomCall(random, failRate, slowRate))
		}
		decision := judge.Decide(now, move, status)
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

// randomCall returns a call of about 100 ms, or of eight times that if it is slow.
func randomCall(random *rand.Rand, failRate, slowRate float64) Counts {
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

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

const (
	shortSeeds = 40
	// exposureShare and exposureSlack bound the calls that a bad version may get, as the users require it: a tenth of all
	// calls plus 50.
	exposureShare = 0.1
	exposureSlack = 50
)

func TestShortMoveOfGoodVersionIsDoneByItsDeadline(t *testing.T) {
	const length = 12 * time.Second
	for _, failRate := range []float64{0.005, 0.3} {
		done := 0
		for seed := range uint64(shortSeeds) {
			simulation := shortSimulation{rate: 120, routes: 2, oldFailRate: constantRate(failRate), newRates: func(time.Duration, int, float64) (float64, float64) { return failRate, 0 }}
			result := simulation.run(seed, length)
			if result.state == apiv1.MoveState_MOVE_STATE_DONE && result.at <= length {
				done++
			}
		}
		// Failures of both versions must not cause a rollback.
		require.GreaterOrEqual(t, done, shortSeeds*9/10, "failures of both versions: %g", failRate)
	}
}

// TestShortMoveOfBadVersionIsRolledBack covers the ways in which a version can be bad, and bounds the calls that each may get.
// It leaves out a version that fails only under load: this may reach the full share before the failures show, and then
// the breakers of the nodes, which are not simulated here, stop it within some calls.
func TestShortMoveOfBadVersionIsRolledBack(t *testing.T) {
	const length = 12 * time.Second
	for name, newRates := range map[string]func(at time.Duration, route int, share float64) (float64, float64){
		"errors":    func(time.Duration, int, float64) (float64, float64) { return 0.5, 0 },
		"slow":      func(time.Duration, int, float64) (float64, float64) { return 0, 0.5 },
		"one route": func(_ time.Duration, route int, _ float64) (float64, float64) { return []float64{0.5, 0}[route], 0 },
		"late": func(at time.Duration, _ int, _ float64) (float64, float64) {
			return map[bool]float64{true: 0.5}[at > 5*time.Second], 0
		},
		"errors, weak": func(time.Duration, int, float64) (float64, float64) { return 0.35, 0 },
	} {
		for seed := range uint64(shortSeeds) {
			simulation := shortSimulation{rate: 120, routes: 2, oldFailRate: constantRate(0.01), newRates: newRates}
			result := simulation.run(seed, length)
			require.Equal(t, apiv1.MoveState_MOVE_STATE_TAKEN_BACK, result.state, "%s, seed %d: %s", name, seed, result.reason)
			all := 120 * length.Seconds()
			require.LessOrEqual(t, float64(result.newCalls), exposureShare*all+exposureSlack, "%s, seed %d", name, seed)
		}
	}
}

func TestShortMoveWithThinEvidenceExpires(t *testing.T) {
	simulation := shortSimulation{rate: 2, oldFailRate: constantRate(0), newRates: func(time.Duration, int, float64) (float64, float64) { return 0, 0 }}
	result := simulation.run(1, 12*time.Second)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_EXPIRED, result.state)
}

// TestShortMoveSurvivesClockDifference creates the judge on an instance whose clock is an hour ahead. This must not end the
// move as if its deadline had passed.
func TestShortMoveSurvivesClockDifference(t *testing.T) {
	begin := time.UnixMilli(1_700_000_000_000)
	move := &apiv1.Move{StartedUnixMs: begin.UnixMilli(), DeadlineUnixMs: begin.Add(12 * time.Second).UnixMilli(), ShareBp: 400, State: apiv1.MoveState_MOVE_STATE_RUNNING, Policy: &apiv1.MovePolicy{}}
	ahead := begin.Add(time.Hour)
	judge := newShortJudge(ahead, move)
	require.Nil(t, judge.Decide(ahead.Add(time.Second), move, &ServiceStatus{ReadyNew: 1}).Step)
}
