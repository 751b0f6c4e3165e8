package deployment

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// cli runs the command-line tool samphireflow as an operator does.
type cli struct {
	program string
	control string
}

func newCLI(binDir string, controls []Process) *cli {
	addrs := make([]string, 0, len(controls))
	for _, control := range controls {
		addrs = append(addrs, control.ControlAddr)
	}
	return &cli{program: filepath.Join(binDir, "samphireflow"), control: strings.Join(addrs, ",")}
}

// run runs a subcommand and returns its standard output.
func (c *cli) run(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, c.program, append([]string{"--control", c.control}, args...)...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	if err := cmd.Run(); err != nil {
		return "", errors.Wrapf(err, "samphireflow %s: %s", strings.Join(args, " "), strings.TrimSpace(stderr.String()))
	}
	return stdout.String(), nil
}
