package deployment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Up starts a deployment that keeps running after this process exits, and writes its manifest into dir.
func Up(ctx context.Context, layout Layout, binDir, dir string, out io.Writer) error {
	unlock, err := lockFolder(dir)
	if err != nil {
		return err
	}
	defer unlock()
	if err := checkNotUp(dir); err != nil {
		return err
	}
	for _, name := range []string{"data", "logs", "executions"} {
		if err := os.RemoveAll(filepath.Join(dir, name)); err != nil {
			return errors.Wrap(err, "remove the files of an earlier deployment")
		}
	}
	deployment, err := New(layout, binDir, dir)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := deployment.Start(ctx); err != nil {
		return withStopError(err, deployment.Stop())
	}
	if err := deployment.WriteManifest(); err != nil {
		return withStopError(err, deployment.Stop())
	}
	fmt.Fprintf(out, "%s is up: %d processes, listed in %s\n", layout.Name, len(deployment.Processes()), filepath.Join(dir, ManifestName))
	fmt.Fprintf(out, "for the command-line tool: export SAMPHIREFLOW_CONTROL=%s\n", deployment.cli.control)
	return nil
}

// withStopError adds the error of Stop, if any, to the error that made the stop necessary.
func withStopError(err, stopErr error) error {
	if stopErr != nil {
		return errors.WithMessage(err, stopErr.Error())
	}
	return err
}

// checkNotUp returns an error if a process of the manifest in dir still runs.
func checkNotUp(dir string) error {
	manifest, err := ReadManifest(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, process := range manifest.Processes {
		if process.running() {
			return errors.Errorf("a deployment is up already (%s runs with PID %d); stop it with down first", process.name(), process.PID)
		}
	}
	return nil
}

// Down stops the processes that the manifest in dir lists and removes the manifest.
func Down(dir string, out io.Writer) error {
	unlock, err := lockFolder(dir)
	if err != nil {
		return err
	}
	defer unlock()
	manifest, err := ReadManifest(dir)
	if errors.Is(err, os.ErrNotExist) {
		fmt.Fprintln(out, "no deployment is up")
		return nil
	}
	if err != nil {
		return err
	}
	if err := stopAll(manifest.Processes); err != nil {
		return err
	}
	fmt.Fprintf(out, "stopped the deployment of %d processes\n", len(manifest.Processes))
	return errors.Wrap(os.Remove(filepath.Join(dir, ManifestName)), "remove the manifest")
}
