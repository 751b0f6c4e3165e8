package shell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Exit codes of the command-line tool for moves.
const (
	cliConflict  = 5
	cliCancelled = 11
)

func TestMoveIsStartedListedCancelledAndFollowed(t *testing.T) {
	s := startSmall(t)
	_, err := s.StartVersion("shift-desk", "v2", 2)
	require.NoError(t, err)
	tool := func(args ...string) result {
		return runProgram(t, nil, "samphireflow", append([]string{"--control", s.control.ControlAddr}, args...)...)
	}
	deadline := time.Now().Add(5 * time.Minute).Format(time.RFC3339)
	start := tool("move", "start", "--id", "move-1", "--deadline", deadline, "shift-desk", "v2")
	require.Equal(t, exitOK, start.code, start.stderr)
	again := tool("move", "start", "--id", "move-1", "--deadline", deadline, "shift-desk", "v2")
	require.Equal(t, exitOK, again.code, "a repeated start gets the first answer: %s", again.stderr)
	second := tool("move", "start", "--id", "move-2", "--deadline", "5m", "shift-desk", "v3")
	require.Equal(t, cliConflict, second.code, "a service has at most one move at a time")
	require.Contains(t, second.stderr, "move-1", "the conflicting move")

	list := tool("move", "list", "--running")
	require.Equal(t, exitOK, list.code, list.stderr)
	require.Contains(t, list.stdout, "move-1")
	require.NotContains(t, list.stdout, "move-2")

	cancel := tool("move", "cancel", "move-1")
	require.Equal(t, exitOK, cancel.code, cancel.stderr)
	require.Equal(t, cliCancelled, tool("move", "follow", "move-1").code)

	for _, bad := range [][]string{
		{"move", "start", "shift-desk", "v2"},
		{"move", "start", "--deadline", "soon", "shift-desk", "v2"},
		{"move", "start", "--deadline", "5m", "--thin-evidence", "shrug", "shift-desk", "v2"},
	} {
		require.Equal(t, cliUsage, tool(bad...).code, "%v", bad)
	}
	require.Equal(t, cliRefused, tool("move", "cancel", "no-such-move").code)
	require.Equal(t, cliRefused, tool("move", "start", "--deadline", "5m", "no-such-service", "v2").code)
}
