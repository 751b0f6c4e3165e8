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

// OS is the real file system.
type OS struct{}

// MkdirAll makes a folder and those above it.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, folderPermissions) }

// Create makes or empties a file.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePermissions)
}

// Append opens a file to write at its end.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, filePermissions)
}

// ReadFile reads a whole file.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir lists the names in a folder.
func (OS) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// Rename moves a file over another one.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// Truncate cuts a file and syncs it.
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

// SyncDir syncs a folder.
func (OS) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Lock takes an exclusive advisory lock that ends with the process.
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
