package wal

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrStopped refuses all work after a failed write or sync.
	ErrStopped = errors.New("wal: stopped after a storage failure")
	// ErrLocked refuses a folder that another process holds.
	ErrLocked = errors.New("wal: the data folder is in use by another process")
	// ErrOwnerMismatch refuses a folder of another cluster or instance.
	ErrOwnerMismatch = errors.New("wal: the data folder belongs to another cluster or instance")
	// ErrCorrupt is wrapped by every CorruptError.
	ErrCorrupt = errors.New("wal: corrupt")
)

// CorruptError names the place of damage that is not a torn tail.
type CorruptError struct {
	File string
	// Offset is in bytes from the start of the file.
	Offset int64
	Reason string
}

// Error describes the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Unwrap makes errors.Is(err, ErrCorrupt) hold.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }
