package shell

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
)

// cliUnknown is the tool's exit code for an edit whose fate is not known.
const cliUnknown = 3

// TestMinorityRefusesEditsAndServesOn kills two of three control instances. What is left does not accept an edit and
// says so, stale reads are answered, and calls go on.
func TestMinorityRefusesEditsAndServesOn(t *testing.T) {
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
	left := []string{"--control", all}

	edit := runProgram(t, nil, "samphireflow", append(left, "set", "/", "call.timeout=3s")...)
	require.Contains(t, []int{cliRefused, cliUnknown, cliUnreachable}, edit.code, edit.stderr)
	require.NotEmpty(t, edit.stderr)
	current := runProgram(t, nil, "samphireflow", append(left, "show", "/")...)
	require.Equal(t, cliUnreachable, current.code)
	require.Contains(t, current.stderr, "stale", "a hint at what works")
	require.NotContains(t, current.stderr, "took effect", "a read has none")
	show := runProgram(t, nil, "samphireflow", append(left, "show", "--stale", "/")...)
	require.Equal(t, exitOK, show.code, show.stderr)
	require.Contains(t, show.stdout, "call.timeout")
	require.NotContains(t, show.stdout, "3s", "what was not accepted is not shown")

	response, body := s.call(t, http.MethodPost, "/shifts", "one shift", http.Header{"Idempotency-Key": {"key-1"}})
	require.Equal(t, http.StatusOK, response.StatusCode, body)
}
