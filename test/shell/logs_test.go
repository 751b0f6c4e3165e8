package shell

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// requireJSONLines checks that a log consists of JSON lines, that each has the common fields, and that docs/LOGS.md lists
// every field.
func requireJSONLines(t *testing.T, log []byte) {
	t.Helper()
	page := readPage(t, "docs/LOGS.md")
	for line := range bytes.Lines(log) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal(line, &fields), "%s", line)
		for _, field := range []string{"level", "time", "message", "instance"} {
			require.Contains(t, fields, field, "%s", line)
		}
		for field := range fields {
			require.Contains(t, page, "`"+field+"`")
		}
	}
}

func TestLogsAreJSONLinesWithListedFields(t *testing.T) {
	s := startSmall(t)
	conn, err := net.Dial("tcp", s.node.CallerAddr)
	require.NoError(t, err)
	_, err = fmt.Fprint(conn, "this is no HTTP\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	_, err = s.CLI(t.Context(), "set", "/", "call.timeout=1s")
	require.NoError(t, err)
	require.NoError(t, s.Kill(s.server))
	s.call(t, http.MethodPost, "/shifts", "", nil)
	require.NoError(t, s.Stop())
	names, err := s.LogFiles()
	require.NoError(t, err)
	require.Len(t, names, 3)
	for _, name := range names {
		log, err := os.ReadFile(name)
		require.NoError(t, err)
		require.NotEmpty(t, log, name)
		requireJSONLines(t, log)
	}
}

// TestUnreachableCollectorDoesNotBlockShutdown sends a traced call while the trace collector is unreachable. The node must
// then stop with exit code 0, and its log must mention traces.
func TestUnreachableCollectorDoesNotBlockShutdown(t *testing.T) {
	s := startSmall(t)
	flags := append(nodeFlags(t), "--control-peers", s.control.Instance+"="+s.control.ControlAddr,
		"--trace-exporter", "otlp", "--trace-target", "http://"+unusedAddr(t)+"/v1/traces", "--trace-sample", "1")
	var log bytes.Buffer
	cmd := exec.Command(filepath.Join(binDir, "samphireflowd"), flags...)
	cmd.Stderr = &log
	require.NoError(t, cmd.Start())
	caller, admin := flagValue(flags, "--caller-addr"), flagValue(flags, "--admin-addr")
	require.Eventually(t, func() bool { return ready(admin) }, startTimeout, pollInterval)
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + caller + "/shifts/one")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, startTimeout, pollInterval)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait(), "exit code 0")
	require.Contains(t, log.String(), "trace")
	requireJSONLines(t, log.Bytes())
}

func flagValue(flags []string, name string) string {
	for i, flag := range flags {
		if flag == name {
			return flags[i+1]
		}
	}
	return ""
}
