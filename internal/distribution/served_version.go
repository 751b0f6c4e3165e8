package distribution

import "time"

// ServedVersion describes how a process sent one configuration version to its watchers.
type ServedVersion struct {
	Version uint64
	// Build and Encode are the times spent on building the snapshots and on encoding the updates of the version.
	Build  time.Duration
	Encode time.Duration
	// Deltas and Snapshots count the responses that carried the version, and Bytes their encoded updates.
	Deltas    int
	Snapshots int
	Bytes     int
	// FirstResponse and LastResponse are the times from the application of the version in this process to the responses.
	FirstResponse time.Duration
	LastResponse  time.Duration
}
