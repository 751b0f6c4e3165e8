package move

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

func outcome(version, domain string, ok, errors uint64) *apiv1.OutcomeCount {
	buckets := make([]uint64, 8)
	buckets[4] = ok + errors
	return &apiv1.OutcomeCount{Service: "rota", Version: version, Route: "lookup", FailureDomain: domain, Ok: ok, Errors: errors, DurationBuckets: buckets}
}

func readyFleet(domains ...string) Fleet {
	fleet := Fleet{Routes: 1, Domains: domains}
	for _, version := range []string{"v1", "v2"} {
		fleet.Servers = append(fleet.Servers, &apiv1.BackendServer{
			Service: "rota", Version: version, Slots: 10, State: apiv1.ServerState_SERVER_STATE_READY,
		})
	}
	return fleet
}

// runUntilStep reports one second of calls at a time until the driver proposes a step.
func runUntilStep(t *testing.T, d *Driver, now time.Time, move *apiv1.Move, fleet Fleet, outcomes ...*apiv1.OutcomeCount) (*apiv1.StepMove, time.Time) {
	for range 600 {
		now = now.Add(time.Second)
		d.Report(now, []*apiv1.Move{move}, outcomes)
		if steps := d.Step(now, []*apiv1.Move{move}, func(string) Fleet { return fleet }); len(steps) > 0 {
			return steps[0], now
		}
	}
	require.Fail(t, "no step", d.HoldReason(move.Id))
	return nil, now
}

func newMove() *apiv1.Move {
	return newSimulation(5*time.Minute, defaultPolicy(), 1).move
}

func TestDriverDoesNotRepeatAProposalBeforeItsTimeout(t *testing.T) {
	d, move := NewDriver(), newMove()
	step, now := runUntilStep(t, d, start, move, readyFleet("hobart"), outcome("v2", "hobart", 0, 5), outcome("v1", "hobart", 95, 0))
	require.Equal(t, apiv1.MoveState_MOVE_STATE_TAKEN_BACK, step.State, step.Reason)
	again := func(at time.Time) []*apiv1.StepMove {
		return d.Step(at, []*apiv1.Move{move}, func(string) Fleet { return readyFleet("hobart") })
	}
	require.Empty(t, again(now.Add(proposalTimeout/2)))
	require.Len(t, again(now.Add(proposalTimeout)), 1)
}

func TestDriverDropsEndedMovesAndIgnoresOtherServices(t *testing.T) {
	d, move := NewDriver(), newMove()
	other := outcome("v2", "hobart", 0, 50)
	other.Service = "desk"
	step, now := runUntilStep(t, d, start, move, readyFleet("hobart"), other, outcome("v2", "hobart", 5, 0), outcome("v1", "hobart", 95, 0))
	require.Equal(t, apiv1.MoveState_MOVE_STATE_RUNNING, step.State, step.Reason)
	require.Empty(t, d.Step(now, nil, nil))
	require.Empty(t, d.active)
}

func TestDriverNamesDomainsThatStoppedReporting(t *testing.T) {
	d, move := NewDriver(), newMove()
	both := []*apiv1.OutcomeCount{outcome("v2", "hobart", 5, 0), outcome("v1", "hobart", 95, 0)}
	first, now := runUntilStep(t, d, start, move, readyFleet("hobart", "burnie"), both...)
	require.NotContains(t, first.Reason, "without reports")
	moved := proto.Clone(move).(*apiv1.Move)
	moved.Stage, moved.ShareBp, moved.Revision, moved.StageUnixMs = first.Stage, first.ShareBp, 2, now.UnixMilli()
	second, _ := runUntilStep(t, d, now, moved, readyFleet("hobart"), both...)
	require.Contains(t, second.Reason, "without reports from burnie")
}
