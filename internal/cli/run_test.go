package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

func writeDocument(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "edit.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestSetFailsOverAndAcceptsFlagsAnywhere(t *testing.T) {
	fake := &fakeControl{}
	control := closedAddress(t) + "," + startFake(t, fake)
	got := runTool("set", "/", "call.timeout=3s", "--control", control, "retry.limit=1", "--operator", "ann")
	require.Equal(t, 0, got.code, got.stderr)
	require.Contains(t, got.stdout, "accepted as version 1")

	t.Setenv("SAMPHIREFLOW_CONTROL", control)
	got = runTool("show", "/")
	require.Equal(t, 0, got.code, got.stderr)
	require.Regexp(t, `/ +1 +call.timeout +3s +ann`, got.stdout)
	require.Contains(t, runTool("--output", "json", "show").stdout, `"key": "call.timeout"`)
}

func TestEditIsRetriedWithSameIDAfterLostResponse(t *testing.T) {
	fake := &fakeControl{loseResponses: 2}
	address := startFake(t, fake)
	got := runTool("--control", address, "set", "/", "retry.limit=1")
	require.Equal(t, 0, got.code, got.stderr)
	require.Equal(t, 3, fake.editCalls)
	require.Equal(t, uint64(1), fake.version)
}

func TestOutcomeIsUnknownIfEveryResponseIsLost(t *testing.T) {
	fake := &fakeControl{loseResponses: 1 << 30}
	got := runTool("--control", startFake(t, fake), "--timeout", "300ms", "set", "/", "retry.limit=1")
	require.Equal(t, int(ExitUnknown), got.code, got.stderr)
	require.Contains(t, got.stderr, "not known")
}

func TestExitCodeIfNoInstanceIsReachable(t *testing.T) {
	got := runTool("--control", closedAddress(t), "--timeout", "200ms", "set", "/", "retry.limit=1")
	require.Equal(t, int(ExitUnreachable), got.code, got.stderr)
}

func TestUsageErrors(t *testing.T) {
	t.Setenv("SAMPHIREFLOW_CONTROL", "")
	for _, args := range [][]string{
		{"show"}, {"no-such"}, {"--control", "nowhere", "show"}, {"--control", "127.0.0.1:1", "set", "/", "no.such=1"},
		{"--control", "127.0.0.1:1", "set", "/", "retry.limit"}, {"--control", "127.0.0.1:1", "--output", "xml", "show"},
		{"--control", "127.0.0.1:1", "move", "start", "rota", "v2"}, {"--control", "127.0.0.1:1", "revert", "x"},
		{"--control", "127.0.0.1:1", "move", "start", "rota", "v2", "--deadline", "yesterday"},
	} {
		got := runTool(args...)
		require.Equal(t, int(ExitUsage), got.code, "%v: %s", args, got.stderr)
	}
}

func TestApplyPrintsPositionOfFaultAndCurrentValue(t *testing.T) {
	fake := &fakeControl{}
	t.Setenv("SAMPHIREFLOW_CONTROL", startFake(t, fake))
	file := writeDocument(t, "branches:\n  /:\n    retry.limit: 3\n  /services/rota:\n    retry.limit: 1\n")
	require.Contains(t, runTool("diff", "-f", file).stdout, `"3"`)
	require.Equal(t, 0, runTool("apply", "-f", file).code)
	require.Contains(t, runTool("apply", "-f", file).stdout, "nothing to change")
	require.Contains(t, runTool("diff", "-f", file).stdout, "no difference")

	bad := writeDocument(t, "branches:\n  /services/rota:\n    retry.limit: 2\n    service.fallback: absent\n")
	got := runTool("apply", "-f", bad)
	require.Equal(t, int(ExitRefused), got.code)
	require.Contains(t, got.stderr, bad+":4:5: /services/rota: service.fallback: refers to /services/absent, which does not exist (now: not set)")
	require.Contains(t, got.stderr, "version 1 stays in force")

	require.Equal(t, 0, runTool("unset", "/services/rota", "retry.limit").code)
	require.Equal(t, 0, runTool("apply", "-f", writeDocument(t, "branches:\n  /services/rota: null\n")).code)
	require.Len(t, fake.tree.Branches(), 1)
}

func TestConflictPrintsWinningEdit(t *testing.T) {
	concurrentEdit := &apiv1.EditRequest{EditId: "other-edit", Operator: "ben", Branches: []*apiv1.BranchEdit{{
		Path: "/", Changes: []*apiv1.Change{{Key: "retry.limit", Value: "5"}},
	}}}
	got := runTool("--control", startFake(t, &fakeControl{concurrentEdit: concurrentEdit}), "set", "/", "retry.limit=1")
	require.Equal(t, int(ExitConflict), got.code)
	require.Contains(t, got.stderr, "at version 1 now, by edit other-edit of ben")
	require.Contains(t, got.stderr, `retry.limit = "5"`)
}

func TestMoveStartIsRetriedWithSameID(t *testing.T) {
	fake := &fakeControl{}
	got := runTool("--control", startFake(t, fake), "move", "start", "rota", "v2", "--deadline", "30m", "--first-share", "0.05", "--watch", "1m")
	require.Equal(t, 0, got.code, got.stderr)
	require.Len(t, fake.startRequests, 2)
	require.Equal(t, fake.startRequests[0].MoveId, fake.startRequests[1].MoveId)
	require.Equal(t, uint32(500), fake.startRequests[1].Policy.FirstShareBp)
	require.Equal(t, uint64(60000), fake.startRequests[1].Policy.WatchMs)
}

func TestMoveFollowExitsWithCodeOfFinalState(t *testing.T) {
	for state, code := range map[apiv1.MoveState]int{
		apiv1.MoveState_MOVE_STATE_DONE: 0, apiv1.MoveState_MOVE_STATE_TAKEN_BACK: 10,
		apiv1.MoveState_MOVE_STATE_CANCELLED: 11, apiv1.MoveState_MOVE_STATE_EXPIRED: 12,
	} {
		running := &apiv1.Move{Id: "m", Revision: 1, State: apiv1.MoveState_MOVE_STATE_RUNNING, ShareBp: 250}
		last := &apiv1.Move{Id: "m", Revision: 2, State: state, Reason: "because"}
		got := runTool("--control", startFake(t, &fakeControl{followMoves: []*apiv1.Move{running, last}}), "move", "follow", "m")
		require.Equal(t, code, got.code, got.stderr)
		require.Contains(t, got.stdout, "running, share 2.5%")
		require.Contains(t, got.stdout, "because")
	}
}
