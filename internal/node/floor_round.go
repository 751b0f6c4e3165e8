package node

import (
	"sync"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// floorRound collects the answers to one round of queries for the floor. It is safe for concurrent use.
//
// The floor follows from one linearizable read of the control group, or from the answers of a majority of the relays. The
// relays that count for the majority are those that the newest version held by any of them names. A majority suffices
// because a version is released to nodes only once a majority of its relays holds it, and the first version with a new
// set of relays also needs a majority of the previous set. A version above the newest one that an answering majority
// holds can therefore not have been released.
type floorRound struct {
	mu sync.Mutex
	// readVersion is the result of a linearizable read.
	readVersion uint64
	readKnown   bool
	// heldVersions holds the newest version that each synced relay holds, by instance.
	heldVersions map[string]uint64
	// newestHeld is the newest version that any relay holds, and newestHeldRelays the set of relays that it names.
	newestHeld       uint64
	newestHeldRelays *apiv1.Assignment
	// newestRelays is the newest set of relays in any answer.
	newestRelays *apiv1.Assignment
}

func newFloorRound() *floorRound {
	return &floorRound{heldVersions: map[string]uint64{}}
}

// add records one answer; control says whether a control instance gave it.
func (r *floorRound) add(response *apiv1.FloorResponse, control bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if response.NewestRelays.GetEpoch() > r.newestRelays.GetEpoch() {
		r.newestRelays = response.NewestRelays
	}
	if !response.Synced {
		return
	}
	if control {
		r.readVersion = max(r.readVersion, response.Version)
		r.readKnown = true
		return
	}
	r.heldVersions[response.Instance] = response.Version
	if response.Version >= r.newestHeld {
		r.newestHeld = response.Version
		r.newestHeldRelays = response.Relays
	}
}

// knownRelays returns the newest set of relays in any answer.
func (r *floorRound) knownRelays() *apiv1.Assignment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestRelays
}

// floor returns a version that is not below any released one, and whether it is known. When both the relays and a
// linearizable read yield a floor, that of the relays applies, even if it is lower: the relays of a partitioned failure
// domain may never receive the version that was read.
func (r *floorRound) floor() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.majorityAnswered() {
		return r.newestHeld, true
	}
	return max(r.readVersion, r.newestHeld), r.readKnown
}

// settled reports whether the floor is known and further answers are not needed.
func (r *floorRound) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.majorityAnswered() || (r.readKnown && len(r.newestRelays.GetNodes()) == 0)
}

// majorityAnswered reports whether a majority of the relays that the newest held version names has answered. The caller
// must hold mu.
func (r *floorRound) majorityAnswered() bool {
	nodes := r.newestHeldRelays.GetNodes()
	count := 0
	for _, node := range nodes {
		if _, ok := r.heldVersions[node.Instance]; ok {
			count++
		}
	}
	return len(nodes) > 0 && count >= distribution.Quorum(len(nodes))
}
