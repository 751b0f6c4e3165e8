package shell

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Exit codes of the command-line tool.
const (
	cliRefused     = 1
	cliUsage       = 2
	cliUnreachable = 4
)

// writeDocument writes a document and returns the name of its file.
func writeDocument(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "doc.yaml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o644))
	return name
}

func TestCLIWithUnreachableControlGroup(t *testing.T) {
	control := unusedAddr(t) + "," + unusedAddr(t)
	for _, args := range [][]string{{"show"}, {"set", "/", "call.timeout=3s"}, {"move", "list"}, {"instances"}} {
		got := runProgram(t, nil, "samphireflow", append([]string{"--control", control, "--timeout", "1s"}, args...)...)
		require.Equal(t, cliUnreachable, got.code, "%v: %s", args, got.stderr)
		require.Contains(t, got.stderr, "nothing was changed")
		require.Empty(t, got.stdout)
	}
}

func TestCLIReportsEachDocumentErrorByLine(t *testing.T) {
	name := writeDocument(t, "branches:\n  /: {call.timeout: soon}\n  /services/x: {service.versoin: v1}\n")
	got := runProgram(t, nil, "samphireflow", "--control", unusedAddr(t), "apply", "-f", name)
	require.Equal(t, cliUsage, got.code)
	require.Contains(t, got.stderr, name+":2:")
	require.Contains(t, got.stderr, name+":3:")
	require.Contains(t, got.stderr, "/services/x")
}

func TestCLIRefusesInvalidYAML(t *testing.T) {
	name := writeDocument(t, "branches:\n  /: {call.timeout: [2s}\n")
	got := runProgram(t, nil, "samphireflow", "--control", unusedAddr(t), "apply", "-f", name)
	require.Equal(t, cliUsage, got.code)
	require.Contains(t, got.stderr, name+":2:")
}

func TestCLITriesTheNextControlInstance(t *testing.T) {
	s := startSmall(t)
	got := runProgram(t, nil, "samphireflow", "--control", unusedAddr(t)+","+s.control.ControlAddr, "--output", "json", "show", "/")
	require.Equal(t, exitOK, got.code, got.stderr)
	require.True(t, json.Valid([]byte(got.stdout)))
	require.Contains(t, got.stdout, "shift-desk")
}

func TestCLIReportsVersionInForceWhenEditIsRefused(t *testing.T) {
	s := startSmall(t)
	control := []string{"--control", s.control.ControlAddr}
	got := runProgram(t, nil, "samphireflow", append(control, "set", "/services/shift-desk", "call.timeout=2h")...)
	require.NotZero(t, got.code)
	require.Contains(t, got.stderr, "/services/shift-desk")
	require.Contains(t, got.stderr, "call.timeout")
	require.Contains(t, got.stderr, "out of range")

	before := s.acceptedVersion(t)
	got = runProgram(t, nil, "samphireflow", append(control, "set", "/services/shift-desk", "service.fallback=nobody")...)
	require.Equal(t, cliRefused, got.code)
	require.Contains(t, got.stderr, "nobody")
	require.Contains(t, got.stderr, "now: not set")
	inForce := versionInForce(t, got.stderr)
	require.GreaterOrEqual(t, inForce, before, "the version in force")
	require.LessOrEqual(t, inForce, s.acceptedVersion(t), "the version in force")

	got = runProgram(t, nil, "samphireflow", append(control, "explain", "/services/shift-desk/routes/book")...)
	require.Equal(t, exitOK, got.code)
	require.Contains(t, got.stdout, "call.timeout")
}

// versionInForce returns the version in force that the tool's error output names.
func versionInForce(t *testing.T, text string) uint64 {
	t.Helper()
	found := regexp.MustCompile(`version ([0-9]+) stays in force`).FindStringSubmatch(text)
	require.Len(t, found, 2, text)
	version, err := strconv.ParseUint(found[1], 10, 64)
	require.NoError(t, err)
	return version
}
