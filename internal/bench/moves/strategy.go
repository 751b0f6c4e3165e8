package moves

import (
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move"
)

// judgeStrategy decides with the driver and the judge of the product.
type judgeStrategy struct {
	driver   *move.Driver
	breakers bool
}

func (j *judgeStrategy) report(now time.Time, moves []*apiv1.Move, outcomes []*apiv1.OutcomeCount) {
	j.driver.Report(now, moves, outcomes)
}

func (j *judgeStrategy) step(now time.Time, moves []*apiv1.Move, fleet move.Fleet) []*apiv1.StepMove {
	return j.driver.Step(now, moves, func(string) move.Fleet { return fleet })
}

func (j *judgeStrategy) reset() { j.driver.Reset() }

func (j *judgeStrategy) breakersEnabled() bool { return j.breakers }

// clockStrategy is the baseline: it raises the share by the clock alone.
type clockStrategy struct{}

func (clockStrategy) report(time.Time, []*apiv1.Move, []*apiv1.OutcomeCount) {}

func (clockStrategy) step(now time.Time, moves []*apiv1.Move, _ move.Fleet) []*apiv1.StepMove {
	var steps []*apiv1.StepMove
	for _, m := range moves {
		if step := clockStep(now, m); step != nil {
			steps = append(steps, step)
		}
	}
	return steps
}

// clockStep raises the share in equal steps at equal intervals and reaches the full share after 90% of the time to the
// deadline.
func clockStep(now time.Time, m *apiv1.Move) *apiv1.StepMove {
	const stages = 5
	step := &apiv1.StepMove{MoveId: m.Id, Revision: m.Revision, State: apiv1.MoveState_MOVE_STATE_RUNNING}
	if m.State == apiv1.MoveState_MOVE_STATE_WATCHING {
		if now.UnixMilli()-m.StageUnixMs < int64(m.Policy.WatchMs) {
			return nil
		}
		step.State, step.ShareBp = apiv1.MoveState_MOVE_STATE_DONE, fullShare
		return step
	}
	passed := float64(now.UnixMilli()-m.StartedUnixMs) / float64(m.DeadlineUnixMs-m.StartedUnixMs)
	stage := min(uint32(passed/0.9*stages), stages)
	if stage <= m.Stage {
		return nil
	}
	step.Stage = stage
	step.ShareBp = fullShare * stage / stages
	if stage == stages {
		step.State = apiv1.MoveState_MOVE_STATE_WATCHING
	}
	return step
}

func (clockStrategy) reset() {}

func (clockStrategy) breakersEnabled() bool { return false }
