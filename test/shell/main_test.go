package shell

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// envBin is the environment variable that names a folder with the programs already built.
const envBin = "SAMPHIREFLOW_BIN"

// binDir is the folder of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs if envBin is not set, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	binDir = os.Getenv(envBin)
	if binDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "samphireflow-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "samphireflow/cmd/samphireflowd", "samphireflow/cmd/samphireflow",
		"samphireflow/cmd/backendserver", "samphireflow/cmd/deployment")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binDir = dir
	return m.Run()
}
