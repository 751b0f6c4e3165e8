// Package move decides how a service's calls go over to a new backend server version. It is pure: evidence and
// clock are passed in.
package move

import (
	"fmt"
	"time"

	apiv1 "samphireflow/api/v1"
)

const (
	// fullShare is the whole of a service's calls, in basis points.
	fullShare = 10000
	// stageCount is the number of stages between the first share and the whole.
	stageCount = 4
	// minCalls is the number of calls to the new version that a stage needs.
	minCalls = 20
)

// tally counts the calls to one version since the last stage.
type tally struct {
	calls  uint64
	errors uint64
}

func (t tally) errorRate() float64 {
	if t.calls == 0 {
		return 0
	}
	return float64(t.errors) / float64(t.calls)
}

type tallyKey struct {
	service string
	version string
}

// Judge weighs the new version of each running move against the old one. It is owned by one goroutine.
type Judge struct {
	tallies  map[tallyKey]tally
	revision map[string]uint64
}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge {
	return &Judge{tallies: map[tallyKey]tally{}, revision: map[string]uint64{}}
}

// Reset forgets all evidence.
func (j *Judge) Reset() {
	*j = *NewJudge()
}

// Observe takes evidence in.
func (j *Judge) Observe(outcomes []*apiv1.OutcomeCount) {
	for _, outcome := range outcomes {
		key := tallyKey{outcome.Service, outcome.Version}
		sum := j.tallies[key]
		sum.calls += outcome.Ok + outcome.Errors
		sum.errors += outcome.Errors
		j.tallies[key] = sum
	}
}

// Decide returns the next step of a move, nil when it stays as it is.
func (j *Judge) Decide(running *apiv1.Move, now time.Time) *apiv1.StepMove {
	newKey, oldKey := tallyKey{running.Service, running.ToVersion}, tallyKey{running.Service, running.FromVersion}
	if j.revision[running.Id] != running.Revision {
		j.revision[running.Id] = running.Revision
		delete(j.tallies, newKey)
		delete(j.tallies, oldKey)
	}
	next := j.decide(running, j.tallies[newKey], j.tallies[oldKey], now)
	if next != nil {
		next.MoveId = running.Id
		next.Revision = running.Revision
	}
	return next
}

func (j *Judge) decide(running *apiv1.Move, fresh, old tally, now time.Time) *apiv1.StepMove {
	margin := float64(running.Policy.ErrorMarginBp) / fullShare
	if fresh.calls >= minCalls && fresh.errorRate() > old.errorRate()+margin {
		return end(apiv1.MoveState_MOVE_STATE_TAKEN_BACK, 0, fmt.Sprintf("%d of %d calls failed", fresh.errors, fresh.calls))
	}
	if running.State == apiv1.MoveState_MOVE_STATE_WATCHING {
		if now.UnixMilli()-running.StageUnixMs >= int64(running.Policy.WatchMs) {
			return end(apiv1.MoveState_MOVE_STATE_DONE, fullShare, "the watch time has passed")
		}
		return nil
	}
	if now.UnixMilli() >= running.DeadlineUnixMs {
		return end(apiv1.MoveState_MOVE_STATE_EXPIRED, 0, "the deadline has passed")
	}
	if fresh.calls < minCalls || now.UnixMilli() < stageDue(running) {
		return nil
	}
	return nextStage(running)
}

// stageDue spaces the stages evenly over the first half of the time to the deadline.
func stageDue(running *apiv1.Move) int64 {
	span := (running.DeadlineUnixMs - running.StartedUnixMs) / 2
	return running.StartedUnixMs + span*int64(running.Stage+1)/(stageCount+1)
}

func nextStage(running *apiv1.Move) *apiv1.StepMove {
	stage := running.Stage + 1
	if stage >= stageCount {
		return &apiv1.StepMove{State: apiv1.MoveState_MOVE_STATE_WATCHING, Stage: stage, ShareBp: fullShare, Reason: "whole"}
	}
	first := running.Policy.FirstShareBp
	share := first + (fullShare-first)*stage/stageCount
	return &apiv1.StepMove{State: apiv1.MoveState_MOVE_STATE_RUNNING, Stage: stage, ShareBp: share, Reason: fmt.Sprintf("stage %d", stage)}
}

func end(state apiv1.MoveState, share uint32, reason string) *apiv1.StepMove {
	return &apiv1.StepMove{State: state, ShareBp: share, Reason: reason}
}
