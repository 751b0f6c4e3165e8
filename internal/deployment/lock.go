package deployment

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// lockName is the file in a deployment's folder that a command locks while it works there.
const lockName = "lock"

// lockFolder locks a deployment's folder against other commands until unlock is called or this process exits.
func lockFolder(dir string) (unlock func(), err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the deployment's folder")
	}
	file, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the lock file")
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "another command is using %s", dir)
	}
	return func() { _ = file.Close() }, nil
}
