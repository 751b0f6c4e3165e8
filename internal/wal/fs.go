package wal

import "io"

// FS is the set of file system operations that the log uses. Tests substitute an implementation that injects faults.
type FS interface {
	MkdirAll(path string) error
	// Create creates a file, or truncates an existing one to zero length, and opens it for appending.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names of the entries of a folder, sorted.
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	Truncate(path string, size int64) error
	// SyncDir makes the creation, renaming and removal of files in a folder durable.
	SyncDir(path string) error
	// Lock locks the lock file of a folder. It fails with ErrLocked if another process holds the lock.
	Lock(path string) (io.Closer, error)
}

// File is a file that is open for appending.
type File interface {
	io.Writer
	Sync() error
	Close() error
}
