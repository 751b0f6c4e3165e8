package node

import (
	"sync"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// floorRound collects the answers to one round of questions. It is safe for use by many goroutines.
//
// The floor is known from one linearizable read of the control group, or from a majority of the relays that the
// newest version held by any of them names. The latter holds because a version is handed down only once a majority
// of its relays holds it, and the first version of a new set also needs a majority of the set before: a version
// above the newest one that a majority of a set holds can thus not have been handed down.
type floorRound struct {
	mu sync.Mutex
	// read is the result of a linearizable read.
	read      uint64
	readKnown bool
	// held holds the version of each relay that counts.
	held map[string]uint64
	// top is the newest version held, and relays those that it names.
	top    uint64
	relays *apiv1.Assignment
	latest *apiv1.Assignment
}

func newFloorRound() *floorRound {
	return &floorRound{held: map[string]uint64{}}
}

func (r *floorRound) add(response *apiv1.FloorResponse, control bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if response.NewestRelays.GetEpoch() > r.latest.GetEpoch() {
		r.latest = response.NewestRelays
	}
	if !response.Synced {
		return
	}
	if control {
		r.read = max(r.read, response.Version)
		r.readKnown = true
		return
	}
	r.held[response.Instance] = response.Version
	if response.Version >= r.top {
		r.top = response.Version
		r.relays = response.Relays
	}
}

// newest returns the newest set of relays that anyone knows of.
func (r *floorRound) newest() *apiv1.Assignment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// floor returns a version that is not below any that may have been handed down, and whether it is known. Where both
// ways lead to one, the lower holds: the relays of a failure domain that is cut off may never get to the higher.
func (r *floorRound) floor() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.majorityHeard() {
		return r.top, true
	}
	return max(r.read, r.top), r.readKnown
}

// settled reports whether more answers would not change the floor.
func (r *floorRound) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.majorityHeard() || (r.readKnown && len(r.latest.GetNodes()) == 0)
}

func (r *floorRound) majorityHeard() bool {
	nodes := r.relays.GetNodes()
	count := 0
	for _, node := range nodes {
		if _, ok := r.held[node.Instance]; ok {
			count++
		}
	}
	return len(nodes) > 0 && count >= distribution.Quorum(len(nodes))
}
