package move

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

var start = time.UnixMilli(1_700_000_000_000)

const tick = 500 * time.Millisecond

// simulation runs a Judge on a move with a constant rate of calls and a simulated clock.
type simulation struct {
	judge  *Judge
	move   *apiv1.Move
	now    time.Time
	status ServiceStatus
	// perTick is the number of calls in a tick.
	perTick float64
	// newRemainder and oldRemainder carry fractions of calls over to the next tick.
	newRemainder, oldRemainder float64
	// sent counts the calls of each side, to spread the bad ones evenly.
	sent [2]uint64
	// newCalls, newBad and oldCalls count since the last resetCounts.
	newCalls, newBad, oldCalls uint64
	highestShare               uint32
}

func newSimulation(deadline time.Duration, policy *apiv1.MovePolicy, perSecond float64) *simulation {
	move := &apiv1.Move{
		Id: "m", Service: "rota", FromVersion: "v1", ToVersion: "v2", Policy: policy, State: apiv1.MoveState_MOVE_STATE_RUNNING,
		StartedUnixMs: start.UnixMilli(), StageUnixMs: start.UnixMilli(), DeadlineUnixMs: start.Add(deadline).UnixMilli(),
		ShareBp: policy.FirstShareBp, Revision: 1,
	}
	return &simulation{
		judge: NewJudge(move, 1), move: move, now: start, perTick: perSecond * tick.Seconds(),
		status: ServiceStatus{ReadyNew: 3, ReadyOld: 3, SlotsNew: 30, LastStart: start.Add(-time.Hour)},
	}
}

func defaultPolicy() *apiv1.MovePolicy {
	return &apiv1.MovePolicy{
		FirstShareBp: 500, ErrorMarginBp: 200, LatencyRatioPct: 200, WatchMs: 60_000, ThinEvidence: tree.ThinEvidenceTakeBack,
	}
}

// step sends the calls of one tick, of which each version fails at its rate, and applies the step that the judge returns.
func (s *simulation) step(newBadRate, oldBadRate float64) Decision {
	s.now = s.now.Add(tick)
	share := float64(s.move.ShareBp) / fullShare
	s.newRemainder += s.perTick * share
	s.oldRemainder += s.perTick * (1 - share)
	s.send(NewVersion, &s.newRemainder, newBadRate)
	s.send(OldVersion, &s.oldRemainder, oldBadRate)
	decision := s.judge.Decide(s.now, s.move, &s.status)
	if decision.Step != nil {
		s.apply(decision.Step)
	}
	return decision
}

func (s *simulation) send(side Side, remainder *float64, badRate float64) {
	calls := uint64(*remainder)
	*remainder -= float64(calls)
	var counts Counts
	for range calls {
		s.sent[side]++
		if float64(s.sent[side]*7%10) < badRate*10 {
			counts.Errors++
		} else {
			counts.OK++
		}
	}
	counts.Buckets[5] = calls
	if calls > 0 {
		s.judge.Observe(s.now, side, "lookup", "hobart", counts)
	}
	if side == NewVersion {
		s.newCalls += calls
		s.newBad += counts.Errors
	} else {
		s.oldCalls += calls
	}
}

func (s *simulation) apply(step *apiv1.StepMove) {
	changed := proto.Clone(s.move).(*apiv1.Move)
	changed.State, changed.Stage, changed.ShareBp, changed.Reason = step.State, step.Stage, step.ShareBp, step.Reason
	changed.StageUnixMs = s.now.UnixMilli()
	changed.Revision++
	s.move = changed
	s.highestShare = max(s.highestShare, changed.ShareBp)
}

func (s *simulation) active() bool {
	return s.move.State == apiv1.MoveState_MOVE_STATE_RUNNING || s.move.State == apiv1.MoveState_MOVE_STATE_WATCHING
}

func (s *simulation) resetCounts() {
	s.newCalls, s.newBad, s.oldCalls = 0, 0, 0
}

// TestShareDoesNotGrowAfterFailuresAreReported starts failures of the new version at any time of a move. Its share must not
// grow once enough of them are reported, and must be 0 in the end.
func TestShareDoesNotGrowAfterFailuresAreReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := defaultPolicy()
		policy.ThinEvidence = rapid.SampledFrom([]string{tree.ThinEvidenceAdvance, tree.ThinEvidenceTakeBack}).Draw(t, "rule")
		deadline := time.Duration(rapid.IntRange(60, 1200).Draw(t, "deadline s")) * time.Second
		s := newSimulation(deadline, policy, rapid.Float64Range(0.5, 60).Draw(t, "calls a second"))
		failureStart := start.Add(time.Duration(rapid.Float64Range(0, 1).Draw(t, "onset") * float64(deadline)))
		failRate := rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "bad part")
		for s.active() && s.now.Before(start.Add(3*deadline)) {
			before := s.move.ShareBp
			if s.now.Before(failureStart) {
				s.step(0, 0)
				s.resetCounts()
				continue
			}
			reported := s.newBad >= 8 && s.oldCalls >= 60
			s.step(failRate, 0)
			if reported && s.move.ShareBp > before {
				t.Fatalf("share grew from %d to %d after %d of %d calls failed: %s", before, s.move.ShareBp, s.newBad, s.newCalls, s.move.Reason)
			}
		}
		if s.newBad >= 30 && s.oldCalls >= 100 && s.move.ShareBp != 0 {
			t.Fatalf("a version that failed %d of %d calls has a share of %d: %s", s.newBad, s.newCalls, s.move.ShareBp, s.move.Reason)
		}
	})
}

func (s *simulation) runFor(length time.Duration, newBadRate, oldBadRate float64) {
	for end := s.now.Add(length); s.active() && s.now.Before(end); {
		s.step(newBadRate, oldBadRate)
	}
}

func TestGoodVersionReachesFullShareByTheDeadline(t *testing.T) {
	for _, perSecond := range []float64{0.5, 5, 500} {
		s := newSimulation(30*time.Minute, defaultPolicy(), perSecond)
		s.status.SlotsNew = 300
		s.runFor(30*time.Minute, 0, 0)
		require.Equal(t, uint32(fullShare), s.move.ShareBp, "%v calls a second: %s", perSecond, s.move.Reason)
		s.runFor(2*time.Minute, 0, 0)
		require.Equal(t, apiv1.MoveState_MOVE_STATE_DONE, s.move.State)
	}
}

func TestThinEvidencePolicyDecidesAtTheDeadline(t *testing.T) {
	for rule, state := range map[string]apiv1.MoveState{
		tree.ThinEvidenceTakeBack: apiv1.MoveState_MOVE_STATE_EXPIRED, tree.ThinEvidenceAdvance: apiv1.MoveState_MOVE_STATE_WATCHING,
	} {
		policy := defaultPolicy()
		policy.ThinEvidence = rule
		s := newSimulation(5*time.Minute, policy, 0.05)
		s.runFor(5*time.Minute, 0, 0)
		require.Equal(t, state, s.move.State)
		require.Contains(t, s.move.Reason, "evidence is thin")
	}
}

func TestFailureOfBothVersionsHoldsTheShare(t *testing.T) {
	s := newSimulation(10*time.Minute, defaultPolicy(), 40)
	s.runFor(80*time.Second, 0, 0)
	held := s.move.ShareBp
	s.runFor(4*time.Minute, 0.4, 0.4)
	require.Equal(t, held, s.move.ShareBp, s.move.Reason)
	s.runFor(5*time.Minute, 0, 0)
	require.Equal(t, uint32(fullShare), s.move.ShareBp, s.move.Reason)
}

func TestShareIsNotRaisedWithoutReadyBackendServersOrCapacity(t *testing.T) {
	s := newSimulation(time.Minute, defaultPolicy(), 40)
	s.status.ReadyNew = 0
	s.runFor(time.Minute, 0, 0)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_EXPIRED, s.move.State)
	require.Contains(t, s.move.Reason, "no backend server of v2 is ready")
	require.LessOrEqual(t, s.highestShare, uint32(500))

	s = newSimulation(time.Minute, defaultPolicy(), 2000)
	s.status.SlotsNew = 2
	s.runFor(time.Minute, 0, 0)
	require.Contains(t, s.move.Reason, "cannot carry")
}

func TestReasonNamesMissingDomain(t *testing.T) {
	s := newSimulation(time.Minute, defaultPolicy(), 40)
	s.status.MissingDomains = []string{"burnie"}
	s.runFor(30*time.Second, 0, 0)
	require.True(t, strings.Contains(s.move.Reason, "without reports from burnie"), s.move.Reason)
}

func TestFailureAtFullShareIsRolledBack(t *testing.T) {
	s := newSimulation(2*time.Minute, defaultPolicy(), 40)
	for s.move.State != apiv1.MoveState_MOVE_STATE_WATCHING {
		s.step(0, 0)
		require.True(t, s.active(), s.move.Reason)
	}
	s.runFor(5*time.Second, 0, 0)
	s.resetCounts()
	s.runFor(time.Minute, 0.5, 0)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_TAKEN_BACK, s.move.State, s.move.Reason)
	require.Less(t, s.newBad, uint64(60))
}

// A request that crashes its backend server also breaks the other calls in flight there. These must count as one crash, not
// as many failures.
func TestOneCrashThatBreaksManyCallsIsNotRolledBack(t *testing.T) {
	s := newSimulation(10*time.Minute, defaultPolicy(), 40)
	for s.active() && s.now.Before(start.Add(10*time.Minute)) {
		switch s.now.Sub(start) {
		case time.Minute:
			s.judge.Observe(s.now, NewVersion, "lookup", "hobart", Counts{Broken: 10})
		case 2 * time.Minute, 3 * time.Minute:
			s.judge.Observe(s.now, OldVersion, "lookup", "hobart", Counts{Broken: 10})
		}
		s.step(0, 0)
	}
	require.Equal(t, uint32(fullShare), s.move.ShareBp, s.move.Reason)
}

func TestRepeatedCrashesAreRolledBack(t *testing.T) {
	s := newSimulation(10*time.Minute, defaultPolicy(), 40)
	for s.active() && s.now.Before(start.Add(time.Minute)) {
		s.judge.Observe(s.now, NewVersion, "lookup", "hobart", Counts{Broken: 1})
		s.step(0, 0)
	}
	require.Equal(t, apiv1.MoveState_MOVE_STATE_TAKEN_BACK, s.move.State)
	require.Contains(t, s.move.Reason, "backend servers die")
}
