package wal

import "io"

// FS is the file system as the log needs it; tests put faults behind it.
type FS interface {
	MkdirAll(path string) error
	// Create makes or empties a file for appending.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir lists the names in a folder, sorted.
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	Truncate(path string, size int64) error
	// SyncDir makes created, renamed and removed names last.
	SyncDir(path string) error
	// Lock takes the folder's lock file; it fails with ErrLocked when another process has it.
	Lock(path string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}
