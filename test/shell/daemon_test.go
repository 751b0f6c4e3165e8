package shell

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// nodeFlags returns a valid set of flags for a node.
func nodeFlags(t *testing.T) []string {
	return []string{
		"--role", "node", "--instance", "hobart-1", "--failure-domain", "hobart", "--region", "south",
		"--caller-addr", unusedAddr(t), "--control-addr", unusedAddr(t), "--admin-addr", unusedAddr(t),
		"--control-peers", "control-1=" + unusedAddr(t),
	}
}

func TestDaemonReportsAllInvalidSettingsAtOnce(t *testing.T) {
	got := runProgram(t, nil, "samphireflowd", "--role", "king", "--instance", "UP", "--control-addr", "somewhere",
		"--admin-addr", "127.0.0.1:0", "--control-peers", "control-1", "--log-level", "loud", "--trace-sample", "7")
	require.Equal(t, exitSettings, got.code)
	for _, flag := range []string{
		"--role", "--instance", "--failure-domain", "--region", "--control-addr", "--admin-addr", "--control-peers",
		"--log-level", "--trace-sample",
	} {
		require.Contains(t, got.stderr, flag)
	}
}

func TestDaemonRefusesUnknownFlag(t *testing.T) {
	got := runProgram(t, nil, "samphireflowd", "--no-such-flag")
	require.Equal(t, exitUsage, got.code)
	require.Contains(t, got.stderr, "no-such-flag")
}

func TestDaemonChecksSettingsAndExits(t *testing.T) {
	flags := append(nodeFlags(t), "--check")
	require.Equal(t, exitOK, runProgram(t, nil, "samphireflowd", flags...).code)
	got := runProgram(t, nil, "samphireflowd", append(flags, "--trace-exporter", "file")...)
	require.Equal(t, exitSettings, got.code)
	require.Contains(t, got.stderr, "--trace-target")
}

func TestDaemonReadsTheEnvironment(t *testing.T) {
	flags := append(nodeFlags(t), "--check")
	got := runProgram(t, []string{"SAMPHIREFLOW_LOG_LEVEL=loud"}, "samphireflowd", flags...)
	require.Equal(t, exitSettings, got.code)
	require.Contains(t, got.stderr, "--log-level")
	got = runProgram(t, []string{"SAMPHIREFLOW_LOG_LEVEL=loud"}, "samphireflowd", append(flags, "--log-level", "warn")...)
	require.Equal(t, exitOK, got.code, "a flag overrides the environment")
}

func TestDaemonFailsWhenItsAddressIsInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	got := runProgram(t, nil, "samphireflowd", append(nodeFlags(t), "--caller-addr", listener.Addr().String())...)
	require.Equal(t, exitFailed, got.code)
	require.Contains(t, got.stderr, "caller address")
	require.Contains(t, got.stderr, listener.Addr().String())
}

func TestDaemonFailsWhenDataDirIsAFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o644))
	addr := unusedAddr(t)
	got := runProgram(t, nil, "samphireflowd", "--role", "control", "--instance", "control-1", "--failure-domain", "hobart",
		"--region", "south", "--control-addr", addr, "--admin-addr", unusedAddr(t), "--control-peers", "control-1="+addr,
		"--data-dir", file)
	require.Equal(t, exitFailed, got.code)
	require.Contains(t, got.stderr, file)
}
