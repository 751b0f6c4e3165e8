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

// flow is a move with a judge, a steady flow of calls and a clock.
type flow struct {
	judge     *Judge
	move      *apiv1.Move
	now       time.Time
	situation Situation
	// perTick is the count of calls in a tick.
	perTick float64
	// newPart and oldPart carry fractions of calls over to the next tick.
	newPart, oldPart float64
	// sent counts the calls of each side, for an even mixture of bad ones.
	sent [2]uint64
	// newCalls, newBad and oldCalls count since the last mark.
	newCalls, newBad, oldCalls uint64
	highest                    uint32
}

func newFlow(deadline time.Duration, policy *apiv1.MovePolicy, perSecond float64) *flow {
	move := &apiv1.Move{
		Id: "m", Service: "rota", FromVersion: "v1", ToVersion: "v2", Policy: policy, State: apiv1.MoveState_MOVE_STATE_RUNNING,
		StartedUnixMs: start.UnixMilli(), StageUnixMs: start.UnixMilli(), DeadlineUnixMs: start.Add(deadline).UnixMilli(),
		ShareBp: policy.FirstShareBp, Revision: 1,
	}
	return &flow{
		judge: NewJudge(move, 1), move: move, now: start, perTick: perSecond * tick.Seconds(),
		situation: Situation{ReadyNew: 3, ReadyOld: 3, SlotsNew: 30, LastStart: start.Add(-time.Hour)},
	}
}

func defaultPolicy() *apiv1.MovePolicy {
	return &apiv1.MovePolicy{
		FirstShareBp: 500, ErrorMarginBp: 200, LatencyRatioPct: 200, WatchMs: 60_000, ThinEvidence: tree.ThinEvidenceTakeBack,
	}
}

// tickOnce sends the calls of one tick, of which the new version fails a part, and applies the judge's step.
func (f *flow) tickOnce(newBadPart, oldBadPart float64) Decision {
	f.now = f.now.Add(tick)
	share := float64(f.move.ShareBp) / fullShare
	f.newPart += f.perTick * share
	f.oldPart += f.perTick * (1 - share)
	f.send(NewVersion, &f.newPart, newBadPart)
	f.send(OldVersion, &f.oldPart, oldBadPart)
	decision := f.judge.Decide(f.now, f.move, &f.situation)
	if decision.Step != nil {
		f.apply(decision.Step)
	}
	return decision
}

func (f *flow) send(side Side, part *float64, badPart float64) {
	calls := uint64(*part)
	*part -= float64(calls)
	var counts Counts
	for range calls {
		f.sent[side]++
		if float64(f.sent[side]*7%10) < badPart*10 {
			counts.Errors++
		} else {
			counts.OK++
		}
	}
	counts.Buckets[5] = calls
	if calls > 0 {
		f.judge.Observe(f.now, side, "lookup", "hobart", counts)
	}
	if side == NewVersion {
		f.newCalls += calls
		f.newBad += counts.Errors
	} else {
		f.oldCalls += calls
	}
}

func (f *flow) apply(step *apiv1.StepMove) {
	changed := proto.Clone(f.move).(*apiv1.Move)
	changed.State, changed.Stage, changed.ShareBp, changed.Reason = step.State, step.Stage, step.ShareBp, step.Reason
	changed.StageUnixMs = f.now.UnixMilli()
	changed.Revision++
	f.move = changed
	f.highest = max(f.highest, changed.ShareBp)
}

func (f *flow) active() bool {
	return f.move.State == apiv1.MoveState_MOVE_STATE_RUNNING || f.move.State == apiv1.MoveState_MOVE_STATE_WATCHING
}

// mark starts the counts anew.
func (f *flow) mark() {
	f.newCalls, f.newBad, f.oldCalls = 0, 0, 0
}

// Whenever the new version begins to fail, its share does not grow once the failures have been reported.
func TestShareNeverGrowsOnBadEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := defaultPolicy()
		policy.ThinEvidence = rapid.SampledFrom([]string{tree.ThinEvidenceAdvance, tree.ThinEvidenceTakeBack}).Draw(t, "rule")
		deadline := time.Duration(rapid.IntRange(60, 1200).Draw(t, "deadline s")) * time.Second
		f := newFlow(deadline, policy, rapid.Float64Range(0.5, 60).Draw(t, "calls a second"))
		onset := start.Add(time.Duration(rapid.Float64Range(0, 1).Draw(t, "onset") * float64(deadline)))
		part := rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "bad part")
		for f.active() && f.now.Before(start.Add(3*deadline)) {
			before := f.move.ShareBp
			if f.now.Before(onset) {
				f.tickOnce(0, 0)
				f.mark()
				continue
			}
			known := f.newBad >= 8 && f.oldCalls >= 60
			f.tickOnce(part, 0)
			if known && f.move.ShareBp > before {
				t.Fatalf("share grew from %d to %d after %d of %d calls failed: %s", before, f.move.ShareBp, f.newBad, f.newCalls, f.move.Reason)
			}
		}
		if f.newBad >= 30 && f.oldCalls >= 100 && f.move.ShareBp != 0 {
			t.Fatalf("a version that failed %d of %d calls has a share of %d: %s", f.newBad, f.newCalls, f.move.ShareBp, f.move.Reason)
		}
	})
}

func (f *flow) runFor(length time.Duration, newBadPart, oldBadPart float64) {
	for end := f.now.Add(length); f.active() && f.now.Before(end); {
		f.tickOnce(newBadPart, oldBadPart)
	}
}

func TestGoodVersionIsWholeByTheDeadline(t *testing.T) {
	for _, perSecond := range []float64{0.5, 5, 500} {
		f := newFlow(30*time.Minute, defaultPolicy(), perSecond)
		f.situation.SlotsNew = 300
		f.runFor(30*time.Minute, 0, 0)
		require.Equal(t, uint32(fullShare), f.move.ShareBp, "%v calls a second: %s", perSecond, f.move.Reason)
		f.runFor(2*time.Minute, 0, 0)
		require.Equal(t, apiv1.MoveState_MOVE_STATE_DONE, f.move.State)
	}
}

func TestThinEvidenceFollowsTheRuleAndSaysSo(t *testing.T) {
	for rule, state := range map[string]apiv1.MoveState{
		tree.ThinEvidenceTakeBack: apiv1.MoveState_MOVE_STATE_EXPIRED, tree.ThinEvidenceAdvance: apiv1.MoveState_MOVE_STATE_WATCHING,
	} {
		policy := defaultPolicy()
		policy.ThinEvidence = rule
		f := newFlow(5*time.Minute, policy, 0.05)
		f.runFor(5*time.Minute, 0, 0)
		require.Equal(t, state, f.move.State)
		require.Contains(t, f.move.Reason, "evidence is thin")
	}
}

func TestBothBadIsNotBlamedAndHoldsTheShare(t *testing.T) {
	f := newFlow(10*time.Minute, defaultPolicy(), 40)
	f.runFor(80*time.Second, 0, 0)
	share := f.move.ShareBp
	f.runFor(4*time.Minute, 0.4, 0.4)
	require.Equal(t, share, f.move.ShareBp, f.move.Reason)
	f.runFor(5*time.Minute, 0, 0)
	require.Equal(t, uint32(fullShare), f.move.ShareBp, f.move.Reason)
}

func TestNoShareWithoutReadyBackendServersOrCapacity(t *testing.T) {
	f := newFlow(time.Minute, defaultPolicy(), 40)
	f.situation.ReadyNew = 0
	f.runFor(time.Minute, 0, 0)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_EXPIRED, f.move.State)
	require.Contains(t, f.move.Reason, "no backend server of v2 is ready")
	require.LessOrEqual(t, f.highest, uint32(500))

	f = newFlow(time.Minute, defaultPolicy(), 2000)
	f.situation.SlotsNew = 2
	f.runFor(time.Minute, 0, 0)
	require.Contains(t, f.move.Reason, "cannot carry")
}

func TestMissingDomainIsNamed(t *testing.T) {
	f := newFlow(time.Minute, defaultPolicy(), 40)
	f.situation.MissingDomains = []string{"burnie"}
	f.runFor(30*time.Second, 0, 0)
	require.True(t, strings.Contains(f.move.Reason, "without reports from burnie"), f.move.Reason)
}

func TestWholeVersionThatFailsGoesBackToHalfAndThenToNone(t *testing.T) {
	f := newFlow(2*time.Minute, defaultPolicy(), 40)
	for f.move.State != apiv1.MoveState_MOVE_STATE_WATCHING {
		f.tickOnce(0, 0)
		require.True(t, f.active(), f.move.Reason)
	}
	f.runFor(5*time.Second, 0, 0)
	f.mark()
	f.runFor(time.Minute, 0.5, 0)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_TAKEN_BACK, f.move.State, f.move.Reason)
	require.Less(t, f.newBad, uint64(60))
}

// A request that kills the backend server that runs it breaks the calls beside it too: one death, not many failures.
func TestOneDeathThatBreaksManyCallsIsNotBlamed(t *testing.T) {
	f := newFlow(10*time.Minute, defaultPolicy(), 40)
	for f.active() && f.now.Before(start.Add(10*time.Minute)) {
		switch f.now.Sub(start) {
		case time.Minute:
			f.judge.Observe(f.now, NewVersion, "lookup", "hobart", Counts{Broken: 10})
		case 2 * time.Minute, 3 * time.Minute:
			f.judge.Observe(f.now, OldVersion, "lookup", "hobart", Counts{Broken: 10})
		}
		f.tickOnce(0, 0)
	}
	require.Equal(t, uint32(fullShare), f.move.ShareBp, f.move.Reason)
}

func TestBackendServersThatDieInTurnAreBlamed(t *testing.T) {
	f := newFlow(10*time.Minute, defaultPolicy(), 40)
	for f.active() && f.now.Before(start.Add(time.Minute)) {
		f.judge.Observe(f.now, NewVersion, "lookup", "hobart", Counts{Broken: 1})
		f.tickOnce(0, 0)
	}
	require.Equal(t, apiv1.MoveState_MOVE_STATE_TAKEN_BACK, f.move.State)
	require.Contains(t, f.move.Reason, "backend servers die")
}
