package moves

import (
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move"
)

const (
	// thresholdCalls is the count of calls of the new version from which the simple judge compares.
	thresholdCalls = 20
	// thresholdStages is the count of its equal stages, over the first half of the time to the deadline.
	thresholdStages = 5
)

// threshold is a simple judge to compare with: the new version is bad once it has had some calls in a stage and its
// share of failed ones is above the old version's in the same stage by the margin.
type threshold struct {
	revision uint64
	calls    map[string]uint64
	errors   map[string]uint64
}

func newThreshold() steering {
	t := &threshold{}
	t.lose()
	return t
}

func (t *threshold) report(_ time.Time, _ []*apiv1.Move, outcomes []*apiv1.OutcomeCount) {
	for _, outcome := range outcomes {
		t.calls[outcome.Version] += outcome.Ok + outcome.Errors
		t.errors[outcome.Version] += outcome.Errors
	}
}

func (t *threshold) step(now time.Time, moves []*apiv1.Move, _ move.Fleet) []*apiv1.StepMove {
	var steps []*apiv1.StepMove
	for _, m := range moves {
		if m.Revision != t.revision {
			t.lose()
			t.revision = m.Revision
		}
		if step := t.stepOf(now, m); step != nil {
			step.MoveId, step.Revision = m.Id, m.Revision
			steps = append(steps, step)
		}
	}
	return steps
}

func (t *threshold) stepOf(now time.Time, m *apiv1.Move) *apiv1.StepMove {
	margin := float64(m.Policy.ErrorMarginBp) / fullShare
	enough := t.calls[newVersion] >= thresholdCalls
	if enough && t.rate(newVersion) > t.rate(oldVersion)+margin {
		return &apiv1.StepMove{State: apiv1.MoveState_MOVE_STATE_TAKEN_BACK}
	}
	if m.State == apiv1.MoveState_MOVE_STATE_WATCHING {
		return clockStep(now, m)
	}
	if now.UnixMilli() >= m.DeadlineUnixMs {
		return &apiv1.StepMove{State: apiv1.MoveState_MOVE_STATE_EXPIRED}
	}
	length := m.DeadlineUnixMs - m.StartedUnixMs
	due := m.StartedUnixMs + length/2*int64(m.Stage+1)/thresholdStages
	if !enough || now.UnixMilli() < due {
		return nil
	}
	return thresholdForward(m)
}

func thresholdForward(m *apiv1.Move) *apiv1.StepMove {
	stage := m.Stage + 1
	if stage >= thresholdStages {
		return &apiv1.StepMove{State: apiv1.MoveState_MOVE_STATE_WATCHING, Stage: stage, ShareBp: fullShare}
	}
	first := m.Policy.FirstShareBp
	share := first + (fullShare-first)*stage/thresholdStages
	return &apiv1.StepMove{State: apiv1.MoveState_MOVE_STATE_RUNNING, Stage: stage, ShareBp: share}
}

func (t *threshold) rate(version string) float64 {
	return float64(t.errors[version]) / float64(max(t.calls[version], 1))
}

func (t *threshold) lose() {
	t.calls, t.errors = map[string]uint64{}, map[string]uint64{}
}

func (t *threshold) guarded() bool { return false }
