package gate

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxRefusedIDs bounds each of the two generations of refusedIDs.
const maxRefusedIDs = 1024

// refusedIDs remembers the hashes of the IDs of the calls that the backend server has refused last: callers choose the length of
// IDs. It is safe for concurrent use.
type refusedIDs struct {
	mu sync.Mutex
	// Once newer is full it replaces older.
	newer, older map[uint64]struct{}
}

func (r *refusedIDs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newer == nil || len(r.newer) == maxRefusedIDs {
		r.newer, r.older = map[uint64]struct{}{}, r.newer
	}
	r.newer[xxhash.Sum64String(id)] = struct{}{}
}

func (r *refusedIDs) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash := xxhash.Sum64String(id)
	_, newer := r.newer[hash]
	_, older := r.older[hash]
	return newer || older
}
