package shell

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// programTimeout bounds the run of a program that is expected to exit by itself.
const programTimeout = 30 * time.Second

// result is the exit code and output of a program.
type result struct {
	code   int
	stdout string
	stderr string
}

// runProgram runs a program until it exits. The program gets no environment variables other than env.
func runProgram(t *testing.T, env []string, name string, args ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), programTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, name), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.Env = append([]string{}, env...)
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	require.NoError(t, ctx.Err(), "%s %v did not end", name, args)
	return result{code: cmd.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}
