package deployment

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// lockName is the file in a deployment's folder that keeps two commands apart.
const lockName = "lock"

// lock keeps other commands off the folder until the function that it returns is called, or the process ends.
func lock(dir string) (unlock func(), err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "make the deployment's folder")
	}
	file, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the lock")
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "another command is at work in %s", dir)
	}
	return func() { _ = file.Close() }, nil
}
