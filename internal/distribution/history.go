package distribution

import (
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/snapshot"
)

const (
	// reach is the number of versions of a failure domain's snapshot that are kept to make deltas from.
	reach = 256
	// maxParts bounds the sets of services for which parts are kept.
	maxParts = 256
)

// History holds the newest versions of one failure domain's snapshot, and their encoded answers for each set of
// services that was asked for. An answer is encoded once and shared by all watchers. It is safe for use by many
// goroutines.
type History struct {
	mu       sync.Mutex
	versions []*apiv1.Snapshot
	parts    map[string]*part
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{parts: map[string]*part{}}
}

// Put adds a whole snapshot. It reports whether it is newer than all before.
func (h *History) Put(snap *apiv1.Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newest := h.newest(); newest != nil {
		if snap.Version <= newest.Version {
			return false
		}
		snap = snapshot.ShareUnchanged(newest, snap)
	}
	h.versions = append(h.versions, snap)
	if len(h.versions) > reach {
		h.versions = append([]*apiv1.Snapshot(nil), h.versions[len(h.versions)-reach:]...)
	}
	h.parts = map[string]*part{}
	return true
}

// Newest returns the newest snapshot, nil when there is none. It must not be changed.
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

// UpdateFrom returns what brings a watcher that has a version with a digest to the newest one: the encoded delta, or
// the encoded snapshot when that is shorter or the version is not known. The bytes must not be changed.
func (h *History) UpdateFrom(services []string, version, digest uint64) ConfigUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.newest()
	if newest == nil {
		return ConfigUpdate{}
	}
	return h.part(services, newest).answer(h.find(version), digest)
}

// Closure returns the services that a watcher needs, nil for all.
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
	return h.part(services, newest).closure
}

func (h *History) find(version uint64) *apiv1.Snapshot {
	for i := len(h.versions) - 1; i >= 0; i-- {
		if h.versions[i].Version == version {
			return h.versions[i]
		}
	}
	return nil
}

func (h *History) part(services []string, newest *apiv1.Snapshot) *part {
	key := strings.Join(services, ",")
	if p := h.parts[key]; p != nil {
		return p
	}
	if len(h.parts) >= maxParts {
		h.parts = map[string]*part{}
	}
	p := newPart(services, newest)
	h.parts[key] = p
	return p
}

// part is the newest version as the watchers of some services need it.
type part struct {
	services []string
	closure  map[string]bool
	newest   *apiv1.Snapshot
	// encoded is packed too.
	encoded []byte
	// deltas holds the encoded and packed delta from each version and digest that was asked for.
	deltas map[position][]byte
}

// position is a version as a watcher has it.
type position struct {
	version uint64
	digest  uint64
}

func newPart(services []string, whole *apiv1.Snapshot) *part {
	return &part{
		services: services,
		closure:  snapshot.FallbackClosure(whole, services),
		newest:   snapshot.Filter(whole, services),
		deltas:   map[position][]byte{},
	}
}

// answer makes the answer for a watcher that has a version; whole is nil when that version is not known.
func (p *part) answer(whole *apiv1.Snapshot, digest uint64) ConfigUpdate {
	if p.encoded == nil {
		p.encoded = encode(p.newest)
	}
	answer := ConfigUpdate{Version: p.newest.Version, Snapshot: p.encoded}
	if whole == nil {
		return answer
	}
	at := position{whole.Version, digest}
	delta, known := p.deltas[at]
	if !known {
		if base := snapshot.Filter(whole, p.services); base.Digest == digest {
			delta = encode(snapshot.Diff(base, p.newest))
		}
		p.deltas[at] = delta
	}
	if delta != nil && len(delta) < len(p.encoded) {
		return ConfigUpdate{Version: p.newest.Version, Delta: delta}
	}
	return answer
}

// encode encodes and packs a message that this process made; that cannot fail.
func encode(message proto.Message) []byte {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return packed.Pack(data)
}
