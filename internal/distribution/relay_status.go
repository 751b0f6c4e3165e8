package distribution

import (
	"time"
)

// RelayStatus is the state of a relay.
type RelayStatus struct {
	// Working is set while the node is one of the assigned relays.
	Working bool
	// Synced is set once the relay counts in quorums.
	Synced bool
	// Held is the newest version held, and Released the newest that is known to be held by a quorum.
	Held     uint64
	Released uint64
	// Age is the time since a quorum of the control group was heard, through whomever.
	Age time.Duration
}
