package wal

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

// OS is the FS of the operating system.
type OS struct{}

// MkdirAll creates a folder and its parents.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, folderPermissions) }

// Create creates a file, or truncates an existing one to zero length, and opens it for appending.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePermissions)
}

// Append opens an existing file for appending.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, filePermissions)
}

// ReadFile reads a whole file.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir returns the names of the entries of a folder, sorted.
func (OS) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// Rename renames a file and replaces an existing file of the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// Truncate shortens a file and syncs it.
func (OS) Truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, filePermissions)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// SyncDir makes the creation, renaming and removal of files in a folder durable.
func (OS) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Lock takes an exclusive advisory lock, which the kernel releases when the process exits.
func (OS) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, errors.Wrap(ErrLocked, path)
	}
	return file, nil
}
