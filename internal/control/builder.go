package control

import (
	"sync"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/snapshot"
	"samphireflow/internal/state"
)

// deltaReach is the number of versions of a failure domain's snapshot that are kept to make deltas from.
const deltaReach = 256

// builder makes each failure domain's snapshot once a version and shares it with all watchers.
type builder struct {
	mu      sync.Mutex
	domains map[string][]*apiv1.Snapshot
}

func newBuilder() *builder {
	return &builder{domains: map[string][]*apiv1.Snapshot{}}
}

// snapshot returns the snapshot of a view for a failure domain, the newest one when a newer was built already.
func (b *builder) snapshot(view *state.View, failureDomain string) *apiv1.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	built := b.domains[failureDomain]
	if len(built) > 0 && built[len(built)-1].Version >= view.Version {
		return built[len(built)-1]
	}
	snap := snapshot.Build(view, failureDomain)
	built = append(built, snap)
	if len(built) > deltaReach {
		built = built[len(built)-deltaReach:]
	}
	b.domains[failureDomain] = built
	return snap
}

// base returns the snapshot that a node has by version and digest, nil when it is no longer kept.
func (b *builder) base(failureDomain string, version, digest uint64) *apiv1.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, snap := range b.domains[failureDomain] {
		if snap.Version == version && snap.Digest == digest {
			return snap
		}
	}
	return nil
}
