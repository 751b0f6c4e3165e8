package shell

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
)

// envProve is the environment variable that enables the tests of complete deployments.
const envProve = "SAMPHIREFLOW_PROVE"

func requireProve(t *testing.T) {
	t.Helper()
	if os.Getenv(envProve) == "" {
		t.Skip("runs a whole deployment; use make prove")
	}
}

// TestUpAndDown starts each layout with the deployment tool, kills a node, restarts it from the manifest and stops the
// deployment.
func TestUpAndDown(t *testing.T) {
	requireProve(t)
	for name, processes := range map[string]int{"ploughline": 3 + 2*18, "rota-cera": 3 + 2*14} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			env := []string{deployment.EnvLayout + "=" + name}
			run := func(command string) result {
				return runProgram(t, env, "deployment", command, "--bin", binDir, "--dir", dir)
			}
			up := run("up")
			defer func() { require.Equal(t, exitOK, run("down").code) }()
			require.Equal(t, exitOK, up.code, up.stderr)
			manifest, err := deployment.ReadManifest(dir)
			require.NoError(t, err)
			require.Len(t, manifest.Processes, processes)
			requireLookupsSucceed(t, manifest)

			again := run("up")
			require.Equal(t, exitFailed, again.code)
			require.Contains(t, again.stderr, "up already")

			restartNode(t, manifest)
			require.Equal(t, exitOK, run("down").code)
			for _, process := range manifest.Processes {
				require.False(t, alive(process.PID), "%s %s", process.Role, process.Instance)
			}
		})
	}
}

// requireLookupsSucceed checks that each idempotent route answers with status 200 at each node.
func requireLookupsSucceed(t *testing.T, manifest deployment.Manifest) {
	t.Helper()
	for _, process := range manifest.Processes {
		if process.Role != deployment.RoleNode {
			continue
		}
		for _, route := range manifest.Routes {
			if !route.Idempotent {
				continue
			}
			response, err := http.Get("http://" + process.CallerAddr + strings.Replace(route.Path, "*", "one", 1))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	}
}

// restartNode kills a node, restarts it with the arguments and environment of the manifest and waits until it is ready. It
// then stops the new process, which the deployment tool does not know.
func restartNode(t *testing.T, manifest deployment.Manifest) {
	t.Helper()
	var node deployment.Process
	for _, process := range manifest.Processes {
		if process.Role == deployment.RoleNode {
			node = process
		}
	}
	require.NoError(t, syscall.Kill(node.PID, syscall.SIGKILL))
	require.Eventually(t, func() bool { return !alive(node.PID) }, startTimeout, pollInterval)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, node.Argv[0], node.Argv[1:]...)
	cmd.Env = []string{}
	for name, value := range node.Env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	require.NoError(t, cmd.Start())
	require.Eventually(t, func() bool { return ready(node.AdminAddr) }, startTimeout, pollInterval)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}

// alive reports whether a process exists and is not a zombie.
func alive(pid int) bool {
	stat, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return false
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return !strings.HasPrefix(state, "Z")
}
