package distribution

import (
	"time"
)

// RelayStatus is the state of a relay.
type RelayStatus struct {
	// Working is set while the node is one of the assigned relays.
	Working bool
	// Synced is set once the relay counts in quorums after its start.
	Synced bool
	// Held is the newest version that the relay holds, and Released the newest that a quorum is known to hold.
	Held     uint64
	Released uint64
	// Age is the time since the last contact with a quorum of the control group, direct or through other processes.
	Age time.Duration
}
