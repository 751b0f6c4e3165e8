package distribution

import (
	apiv1 "samphireflow/api/v1"
)

// AckTracker tracks which version each relay of a failure domain holds. A version is released, that is served to nodes,
// once a majority of the relays that it names holds it. The first version of a new set of relays also needs a majority of
// the previous set. AckTracker does no I/O and is not safe for concurrent use.
//
// Invariant: a synced relay holds every version that it ever acknowledged, before or after its last restart, because after
// a start it becomes synced only when it holds the version that a linearizable read of the control group returned.
// Therefore an acknowledgement never expires, and a restarted node that asks a majority of the relays reaches at least one
// that holds every version that the node may have applied before the restart.
type AckTracker struct {
	self string
	// acks holds the newest version that each relay acknowledged.
	acks map[string]uint64
	// floor is the version that a linearizable read returned after the start. It is valid once floorKnown is set.
	floor      uint64
	floorKnown bool
	held       uint64
	released   uint64
}

// NewAckTracker returns the tracker of the relay self.
func NewAckTracker(self string) *AckTracker {
	return &AckTracker{self: self, acks: map[string]uint64{}}
}

// RecordHeld records that this relay holds a version.
func (t *AckTracker) RecordHeld(version uint64) {
	t.held = max(t.held, version)
}

// RecordFloor records the result of a linearizable read of the control group that began after the start of this relay.
func (t *AckTracker) RecordFloor(version uint64) {
	t.floorKnown = true
	t.floor = max(t.floor, version)
}

// Synced reports whether this relay is known to hold every version that it acknowledged before its last restart.
func (t *AckTracker) Synced() bool {
	return t.floorKnown && t.held >= t.floor
}

// Held returns the newest version that this relay holds.
func (t *AckTracker) Held() uint64 {
	return t.held
}

// RecordAck records that another relay holds a version. The other relay must have been synced.
func (t *AckTracker) RecordAck(relay string, version uint64) {
	if relay != t.self {
		t.acks[relay] = max(t.acks[relay], version)
	}
}

// RecordReleased records that this relay or another one has released a version.
func (t *AckTracker) RecordReleased(version uint64) {
	t.released = max(t.released, version)
}

// Released returns the newest version that is known to be released. This relay does not necessarily hold it.
func (t *AckTracker) Released() uint64 {
	return t.released
}

// Releasable reports whether a version that this relay holds, and that names a set of relays, can be released.
func (t *AckTracker) Releasable(version uint64, relays *apiv1.Assignment) bool {
	if version <= t.released {
		return true
	}
	if !t.hasMajority(version, relays.GetNodes()) {
		return false
	}
	return t.released >= relays.GetVersion() || len(relays.GetPrevious()) == 0 || t.hasMajority(version, relays.Previous)
}

func (t *AckTracker) hasMajority(version uint64, relays []*apiv1.AssignedNode) bool {
	count := 0
	for _, relay := range relays {
		if t.heldBy(relay.Instance) >= version {
			count++
		}
	}
	return count >= Quorum(len(relays))
}

// heldBy returns the version of a relay that counts in quorums, 0 for this relay while it is not synced.
func (t *AckTracker) heldBy(relay string) uint64 {
	if relay != t.self {
		return t.acks[relay]
	}
	if !t.Synced() {
		return 0
	}
	return t.held
}

// Quorum returns the number of relays that form a majority of a set.
func Quorum(relays int) int {
	return relays/2 + 1
}
