package moves

import (
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move"
)

const (
	// thresholdMinCalls is the number of calls of the new version in a stage from which thresholdStrategy compares.
	thresholdMinCalls = 20
	// thresholdStages is the number of equal stages, which fill the first half of the time to the deadline.
	thresholdStages = 5
)

// thresholdStrategy is a simple judge for comparison. It rolls a move back once the new version has had enough calls in
// a stage and its error rate exceeds the old version's in the same stage by more than the margin.
type thresholdStrategy struct {
	revision uint64
	calls    map[string]uint64
	errors   map[string]uint64
}

func newThresholdStrategy() strategy {
	t := &thresholdStrategy{}
	t.reset()
	return t
}

func (t *thresholdStrategy) report(_ time.Time, _ []*apiv1.Move, outcomes []*apiv1.OutcomeCount) {
	for _, outcome := range outcomes {
		t.calls[outcome.Version] += outcome.Ok + outcome.Errors
		t.errors[outcome.Version] += outcome.Errors
	}
}

func (t *thresholdStrategy) step(now time.Time, moves []*apiv1.Move, _ move.Fleet) []*apiv1.StepMove {
	var steps []*apiv1.StepMove
	for _, m := range moves {
		if m.Revision != t.revision {
			t.reset()
			t.revision = m.Revision
		}
		if step := t.nextStep(now, m); step != nil {
			step.MoveId, step.Revision = m.Id, m.Revision
			steps = append(steps, step)
		}
	}
	return steps
}

func (t *thresholdStrategy) nextStep(now time.Time, m *apiv1.Move) *apiv1.StepMove {
	margin := float64(m.Policy.ErrorMarginBp) / fullShare
	enoughCalls := t.calls[newVersion] >= thresholdMinCalls
	if enoughCalls && t.errorRate(newVersion) > t.errorRate(oldVersion)+margin {
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
	if !enoughCalls || now.UnixMilli() < due {
		return nil
	}
	return nextThresholdStage(m)
}

func nextThresholdStage(m *apiv1.Move) *apiv1.StepMove {
	stage := m.Stage + 1
	if stage >= thresholdStages {
		return &apiv1.StepMove{State: apiv1.MoveState_MOVE_STATE_WATCHING, Stage: stage, ShareBp: fullShare}
	}
	first := m.Policy.FirstShareBp
	share := first + (fullShare-first)*stage/thresholdStages
	return &apiv1.StepMove{State: apiv1.MoveState_MOVE_STATE_RUNNING, Stage: stage, ShareBp: share}
}

func (t *thresholdStrategy) errorRate(version string) float64 {
	return float64(t.errors[version]) / float64(max(t.calls[version], 1))
}

func (t *thresholdStrategy) reset() {
	t.calls, t.errors = map[string]uint64{}, map[string]uint64{}
}

func (t *thresholdStrategy) breakersEnabled() bool { return false }
