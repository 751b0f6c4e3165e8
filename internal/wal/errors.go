package wal

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

var (
	// ErrStopped means that a write or sync has failed. The log accepts no further writes.
	ErrStopped = errors.New("wal: stopped after a storage failure")
	// ErrLocked is returned for a folder that another process has locked.
	ErrLocked = errors.New("wal: the data folder is in use by another process")
	// ErrOwnerMismatch is returned for a folder that belongs to another cluster or instance.
	ErrOwnerMismatch = errors.New("wal: the data folder belongs to another cluster or instance")
	// ErrCorrupt is wrapped by every CorruptError.
	ErrCorrupt = errors.New("wal: corrupt")
)

// CorruptError reports the location of damage other than a torn tail.
type CorruptError struct {
	File string
	// Offset is where in the file the damage was found, in bytes from its start.
	Offset int64
	Reason string
}

// Error names the file, the offset and the kind of damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Unwrap makes errors.Is(err, ErrCorrupt) hold.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// stoppedError is an ErrStopped with its cause.
type stoppedError struct{ cause error }

// Error returns both messages.
func (e *stoppedError) Error() string { return ErrStopped.Error() + ": " + e.cause.Error() }

// Unwrap makes errors.Is hold for ErrStopped and for the cause.
func (e *stoppedError) Unwrap() []error { return []error{ErrStopped, e.cause} }

// IsDiskFull reports whether an error was caused by a disk without room. The log can be opened again once there is some.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
