package distribution

import (
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/snapshot"
)

const (
	// maxVersions is the number of versions of a failure domain's snapshot that are kept as bases of deltas.
	maxVersions = 256
	// minChangedBytes is the size of the changes since the oldest version, in bytes of encoded entities, up to which
	// versions are kept however small the snapshot is.
	minChangedBytes = 64 << 10
	// maxSubsets bounds the number of cached subsets, one for each requested set of services, and maxSubsetBytes their
	// total size if each of them were the whole snapshot.
	maxSubsets     = 256
	maxSubsetBytes = 32 << 20
)

// History holds the newest versions of one failure domain's snapshot, and caches the encoded updates for each requested
// set of services. An update is encoded once and shared by all watchers. History is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// versions holds the newest versions, oldest first. A version is kept as long as the changes since it are no larger than
	// the newest snapshot, because a larger delta is never sent. The versions share their unchanged entities, so together
	// they take little more than twice the memory of the newest one.
	versions []*apiv1.Snapshot
	// changedBytes holds, for each version, the size of the entities that the version before does not have.
	changedBytes []int
	// newestBytes is the size of the entities of the newest version.
	newestBytes int
	// filters is kept from version to version; subsets belongs to the newest one.
	filters map[string]*snapshot.Filter
	subsets map[string]*subset
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{filters: map[string]*snapshot.Filter{}, subsets: map[string]*subset{}}
}

// Put adds a full snapshot. It reports whether the snapshot is newer than all previous ones; an older one is ignored.
func (h *History) Put(snap *apiv1.Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := &apiv1.Snapshot{}
	if newest := h.newest(); newest != nil {
		if snap.Version <= newest.Version {
			return false
		}
		snap = snapshot.ShareUnchanged(newest, snap)
		previous = newest
	}
	added, removed := snapshot.ChangedBytes(previous, snap)
	h.versions = append(h.versions, snap)
	h.changedBytes = append(h.changedBytes, added)
	h.newestBytes += added - removed
	h.evict()
	h.subsets = map[string]*subset{}
	return true
}

// evict drops the oldest versions beyond the limits. The newest version is always kept.
func (h *History) evict() {
	first := max(len(h.versions)-maxVersions, 0)
	limit := max(minChangedBytes, h.newestBytes)
	changed := 0
	for i := len(h.versions) - 1; i > first; i-- {
		if changed += h.changedBytes[i]; changed > limit {
			first = i
		}
	}
	if first > 0 {
		h.versions = append([]*apiv1.Snapshot(nil), h.versions[first:]...)
		h.changedBytes = append([]int(nil), h.changedBytes[first:]...)
	}
}

// Newest returns the newest snapshot, nil when there is none. The caller must not modify it.
func (h *History) Newest() *apiv1.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest()
}

func (h *History) newest() *apiv1.Snapshot {
	if len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1]
}

// UpdateFrom returns the update from the version and digest that a watcher has to the newest version: the encoded
// delta, or the encoded snapshot when that is shorter or no delta can be made from the watcher's version. The caller must
// not modify the bytes.
func (h *History) UpdateFrom(services []string, version, digest uint64) ConfigUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.newest()
	if newest == nil {
		return ConfigUpdate{}
	}
	started := time.Now()
	subset := h.subset(services, newest)
	update, encoded := subset.updateFrom(h.find(version), digest)
	if encoded {
		update.EncodeTime = time.Since(started)
	}
	return update
}

// Closure returns the services that calls of the requested ones may go to, these included; see snapshot.Filter. It returns
// nil, which means all services, when none are requested.
func (h *History) Closure(services []string) map[string]bool {
	if len(services) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.newest()
	if newest == nil {
		return map[string]bool{}
	}
	return h.subset(services, newest).closure
}

func (h *History) find(version uint64) *apiv1.Snapshot {
	for i := len(h.versions) - 1; i >= 0; i-- {
		if h.versions[i].Version == version {
			return h.versions[i]
		}
	}
	return nil
}

func (h *History) subset(services []string, newest *apiv1.Snapshot) *subset {
	key := strings.Join(services, ",")
	if s := h.subsets[key]; s != nil {
		return s
	}
	if len(h.filters) >= h.subsetLimit() {
		h.filters, h.subsets = map[string]*snapshot.Filter{}, map[string]*subset{}
	}
	filter := h.filters[key]
	if filter == nil {
		filter = snapshot.NewFilter(services)
		h.filters[key] = filter
	}
	s := newSubset(filter, newest)
	h.subsets[key] = s
	return s
}

// subsetLimit returns the number of subsets that may be cached. One is always cached.
func (h *History) subsetLimit() int {
	return max(min(maxSubsets, maxSubsetBytes/max(h.newestBytes, 1)), 1)
}

// subset is the newest version reduced to the closure of some services, with its encoded updates.
type subset struct {
	filter  *snapshot.Filter
	closure map[string]bool
	newest  *apiv1.Snapshot
	// encoded is the encoded and packed snapshot, nil until it is first needed.
	encoded []byte
	// deltas caches the delta from each requested version and digest. An entry is nil when the digest does not match that
	// version.
	deltas map[watcherVersion]*encodedDelta
}

// encodedDelta is an encoded and packed delta. It is small if it carries at most half as many entities as the snapshot has,
// so that it is known to be the shorter update.
type encodedDelta struct {
	data  []byte
	small bool
}

// watcherVersion is the version that a watcher has, and the digest of its content.
type watcherVersion struct {
	version uint64
	digest  uint64
}

func newSubset(filter *snapshot.Filter, full *apiv1.Snapshot) *subset {
	return &subset{
		filter:  filter,
		closure: filter.Closure(full),
		newest:  filter.Apply(full),
		deltas:  map[watcherVersion]*encodedDelta{},
	}
}

// updateFrom returns the update to the newest version for a watcher. The parameter full is the full snapshot of the version
// that the watcher has, nil when it is not kept; digest is the digest of the content that the watcher has. It also reports
// whether the call had to encode the update.
func (s *subset) updateFrom(full *apiv1.Snapshot, digest uint64) (ConfigUpdate, bool) {
	encoded := false
	var delta *encodedDelta
	if full != nil {
		delta, encoded = s.deltaFrom(full, digest)
	}
	// Encoding the snapshot costs as much as the configuration is large, so it is left out for a small delta.
	if delta != nil && delta.small {
		return ConfigUpdate{Version: s.newest.Version, Delta: delta.data}, encoded
	}
	if s.encoded == nil {
		s.encoded, encoded = encode(s.newest), true
	}
	if delta != nil && len(delta.data) < len(s.encoded) {
		return ConfigUpdate{Version: s.newest.Version, Delta: delta.data}, encoded
	}
	return ConfigUpdate{Version: s.newest.Version, Snapshot: s.encoded}, encoded
}

// deltaFrom returns the delta from a version, or nil when the digest is not that of the version. It also reports whether
// the call had to encode the delta.
func (s *subset) deltaFrom(full *apiv1.Snapshot, digest uint64) (*encodedDelta, bool) {
	key := watcherVersion{full.Version, digest}
	delta, known := s.deltas[key]
	if known {
		return delta, false
	}
	if base := s.filter.Apply(full); base.Digest == digest {
		diff := snapshot.Diff(base, s.newest)
		delta = &encodedDelta{data: encode(diff), small: 2*countEntities(diff) <= len(s.newest.Services)+len(s.newest.Routes)}
	}
	s.deltas[key] = delta
	return delta, true
}

// countEntities counts the entities that a delta carries.
func countEntities(delta *apiv1.Delta) int {
	return len(delta.Services) + len(delta.Routes) + len(delta.Resources)
}

// encode encodes and packs a message. Encoding cannot fail, because this process built the message itself.
func encode(message proto.Message) []byte {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return packed.Pack(data)
}
