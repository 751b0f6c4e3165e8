package distribution

import (
	apiv1 "samphireflow/api/v1"
)

// AckTracker counts which relays of a failure domain hold which version. A version is released, that is handed down to
// nodes, once a majority of the relays that it names holds it; the first version of a new set of relays also needs a
// majority of the set before. It is pure and not safe for concurrent use.
//
// Invariant: a relay that counts as synced holds every version that it ever acknowledged, in this life or an earlier
// one, because after a start it is synced only when it holds what a linearizable read of the control group returned.
// So an acknowledgement never expires, and a restarted node that asks a majority of the relays meets one that holds
// what the node may have applied before.
type AckTracker struct {
	self string
	// acks holds the newest version that each relay acknowledged.
	acks map[string]uint64
	// floor is what a linearizable read returned after the start; floorKnown tells whether there was one.
	floor      uint64
	floorKnown bool
	held       uint64
	released   uint64
}

// NewAckTracker returns the count of a relay.
func NewAckTracker(self string) *AckTracker {
	return &AckTracker{self: self, acks: map[string]uint64{}}
}

// RecordHeld notes that this relay holds a version.
func (h *AckTracker) RecordHeld(version uint64) {
	h.held = max(h.held, version)
}

// RecordFloor notes the result of a linearizable read of the control group that began after the start of this relay.
func (h *AckTracker) RecordFloor(version uint64) {
	h.floorKnown = true
	h.floor = max(h.floor, version)
}

// Synced reports whether this relay holds all that it acknowledged in an earlier life.
func (h *AckTracker) Synced() bool {
	return h.floorKnown && h.held >= h.floor
}

// Held returns the newest version that this relay holds.
func (h *AckTracker) Held() uint64 {
	return h.held
}

// RecordAck notes that another relay, which was synced, holds a version.
func (h *AckTracker) RecordAck(relay string, version uint64) {
	if relay != h.self {
		h.acks[relay] = max(h.acks[relay], version)
	}
}

// RecordReleased notes that a version was found to be released, here or by another relay.
func (h *AckTracker) RecordReleased(version uint64) {
	h.released = max(h.released, version)
}

// Released returns the newest version that is known to be released; this relay need not hold it.
func (h *AckTracker) Released() uint64 {
	return h.released
}

// Releasable reports whether a held version that names a set of relays can be released.
func (h *AckTracker) Releasable(version uint64, relays *apiv1.Assignment) bool {
	if version <= h.released {
		return true
	}
	if !h.majority(version, relays.GetNodes()) {
		return false
	}
	return h.released >= relays.GetVersion() || len(relays.GetPrevious()) == 0 || h.majority(version, relays.Previous)
}

func (h *AckTracker) majority(version uint64, relays []*apiv1.AssignedNode) bool {
	count := 0
	for _, relay := range relays {
		if h.holding(relay.Instance) >= version {
			count++
		}
	}
	return count >= Quorum(len(relays))
}

func (h *AckTracker) holding(relay string) uint64 {
	if relay != h.self {
		return h.acks[relay]
	}
	if !h.Synced() {
		return 0
	}
	return h.held
}

// Quorum returns the number of relays out of a set that make a majority.
func Quorum(relays int) int {
	return relays/2 + 1
}
