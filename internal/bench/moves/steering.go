package moves

import (
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move"
)

// judged steers by the product's driver.
type judged struct {
	driver *move.Driver
	local  bool
}

func (j *judged) report(now time.Time, moves []*apiv1.Move, outcomes []*apiv1.OutcomeCount) {
	j.driver.Report(now, moves, outcomes)
}

func (j *judged) step(now time.Time, moves []*apiv1.Move, fleet move.Fleet) []*apiv1.StepMove {
	return j.driver.Step(now, moves, func(string) move.Fleet { return fleet })
}

func (j *judged) lose() { j.driver.Reset() }

func (j *judged) guarded() bool { return j.local }

// clocked is the baseline: it raises the share by the clock alone.
type clocked struct{}

func (clocked) report(time.Time, []*apiv1.Move, []*apiv1.OutcomeCount) {}

func (clocked) step(now time.Time, moves []*apiv1.Move, _ move.Fleet) []*apiv1.StepMove {
	var steps []*apiv1.StepMove
	for _, m := range moves {
		if step := clockStep(now, m); step != nil {
			steps = append(steps, step)
		}
	}
	return steps
}

// clockStep raises the share in equal steps at equal times, to be whole at nine tenths of the time.
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

func (clocked) lose() {}

func (clocked) guarded() bool { return false }
