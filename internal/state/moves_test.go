package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

// moveFixture is a machine with the service rota at version v1. Its methods apply encoded commands.
type moveFixture struct {
	machine *Machine
	index   uint64
	now     int64
}

func newMoveFixture() *moveFixture {
	m := &moveFixture{machine: NewMachine(), now: 1000}
	m.run(&apiv1.Command{Kind: &apiv1.Command_Edit{Edit: &apiv1.EditRequest{EditId: "e", Branches: []*apiv1.BranchEdit{{
		Path: "/services/rota", Changes: []*apiv1.Change{{Key: "service.version", Value: "v1"}},
	}}}}})
	return m
}

func (m *moveFixture) run(command *apiv1.Command) *apiv1.CommandResult {
	m.index++
	m.now += 10
	command.ProposedUnixMs = m.now
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	result := &apiv1.CommandResult{}
	if err := proto.Unmarshal(m.machine.Apply(m.index, 1, data), result); err != nil {
		panic(err)
	}
	return result
}

func (m *moveFixture) start(id, version string) *apiv1.MoveResponse {
	request := &apiv1.StartMoveRequest{MoveId: id, Service: "rota", ToVersion: version, DeadlineUnixMs: m.now + 60_000}
	return m.run(&apiv1.Command{Kind: &apiv1.Command_StartMove{StartMove: request}}).Move
}

func (m *moveFixture) step(step *apiv1.StepMove) *apiv1.MoveResponse {
	return m.run(&apiv1.Command{Kind: &apiv1.Command_StepMove{StepMove: step}}).Move
}

// share returns the share of the calls that a version of the service may get, in basis points: that of the active move
// to the version, or the full share for the version in force.
func (m *moveFixture) share(version string) uint32 {
	view := m.machine.View()
	if active := view.ActiveMove("rota"); active != nil && active.ToVersion == version {
		return active.ShareBp
	}
	if view.ServiceVersion("rota") == version {
		return FullShare
	}
	return 0
}

// TestRolledBackVersionGetsNoShareWithoutNewMove guards against late or wrong decisions that give calls back to a
// version whose move has failed. Only a new move to the version may do so.
func TestRolledBackVersionGetsNoShareWithoutNewMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMoveFixture()
		rolledBack := map[string]bool{}
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				version := rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "version")
				if m.start(fmt.Sprint("m", i), version).Outcome == apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
					delete(rolledBack, version)
				}
			default:
				m.step(drawStep(t, m))
			}
			for _, move := range m.machine.View().Moves() {
				ended := !Active(move) && move.State != apiv1.MoveState_MOVE_STATE_DONE
				if ended && move.ConfigVersion == m.machine.View().Version {
					rolledBack[move.ToVersion] = true
				}
			}
			for version := range rolledBack {
				if m.machine.View().ServiceVersion("rota") != version && m.share(version) != 0 {
					t.Fatalf("%s has a share of %d after its move ended", version, m.share(version))
				}
			}
		}
	})
}

// drawStep draws a decision on any move, with any state and share, for the move's revision or the next one.
func drawStep(t *rapid.T, m *moveFixture) *apiv1.StepMove {
	moves := m.machine.View().Moves()
	if len(moves) == 0 {
		return &apiv1.StepMove{}
	}
	move := rapid.SampledFrom(moves).Draw(t, "move")
	return &apiv1.StepMove{
		MoveId:   move.Id,
		Revision: move.Revision + uint64(rapid.IntRange(0, 1).Draw(t, "ahead")),
		State:    apiv1.MoveState(rapid.IntRange(0, 6).Draw(t, "state")),
		ShareBp:  uint32(rapid.SampledFrom([]int{0, 500, 5000, FullShare, 20000}).Draw(t, "share")),
	}
}

func TestInconsistentStepIsRefused(t *testing.T) {
	m := newMoveFixture()
	move := m.start("m1", "v2").Move
	for _, step := range []*apiv1.StepMove{
		{State: apiv1.MoveState_MOVE_STATE_RUNNING, ShareBp: FullShare},
		{State: apiv1.MoveState_MOVE_STATE_WATCHING, ShareBp: 500},
		{State: apiv1.MoveState_MOVE_STATE_DONE, ShareBp: FullShare},
		{State: apiv1.MoveState_MOVE_STATE_TAKEN_BACK, ShareBp: 500},
		{State: apiv1.MoveState_MOVE_STATE_CANCELLED},
	} {
		step.MoveId, step.Revision = move.Id, move.Revision
		require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_INVALID, m.step(step).Outcome, step.String())
	}
}

func TestOneActiveMovePerService(t *testing.T) {
	m := newMoveFixture()
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, m.start("m1", "v2").Outcome)
	second := m.start("m2", "v3")
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, second.Outcome)
	require.Equal(t, "m1", second.Move.Id)
	again := m.start("m2", "v3")
	require.True(t, again.RepeatedAnswer || again.Outcome == apiv1.EditOutcome_EDIT_OUTCOME_INVALID)
}
