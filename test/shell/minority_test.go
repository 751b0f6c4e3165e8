package shell

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
)

// cliUnknown is the tool's exit code for an edit that may or may not have been accepted.
const cliUnknown = 3

// TestMinorityRefusesEditsAndKeepsServing kills two of three control instances. The remaining one must not accept an edit,
// and the tool must report that. Stale reads and calls must still succeed.
func TestMinorityRefusesEditsAndKeepsServing(t *testing.T) {
	layout := smallLayout()
	layout.ControlDomains = []string{"hobart", "hobart", "hobart"}
	s := startLayout(t, layout)
	var control []deployment.Process
	for _, process := range s.Processes() {
		if process.Role == deployment.RoleControl {
			control = append(control, process)
		}
	}
	require.NoError(t, s.Kill(control[0]))
	require.NoError(t, s.Kill(control[1]))
	all := control[0].ControlAddr + "," + control[1].ControlAddr + "," + control[2].ControlAddr
	controlFlags := []string{"--control", all}

	edit := runProgram(t, nil, "samphireflow", append(controlFlags, "set", "/", "call.timeout=3s")...)
	require.Contains(t, []int{cliRefused, cliUnknown, cliUnreachable}, edit.code, edit.stderr)
	require.NotEmpty(t, edit.stderr)
	current := runProgram(t, nil, "samphireflow", append(controlFlags, "show", "/")...)
	require.Equal(t, cliUnreachable, current.code)
	require.Contains(t, current.stderr, "stale", "a hint at the flag that still works")
	require.NotContains(t, current.stderr, "took effect", "a read has no effect")
	show := runProgram(t, nil, "samphireflow", append(controlFlags, "show", "--stale", "/")...)
	require.Equal(t, exitOK, show.code, show.stderr)
	require.Contains(t, show.stdout, "call.timeout")
	require.NotContains(t, show.stdout, "3s", "an edit that was not accepted is not shown")

	response, body := s.call(t, http.MethodPost, "/shifts", "one shift", http.Header{"Idempotency-Key": {"key-1"}})
	require.Equal(t, http.StatusOK, response.StatusCode, body)
}
