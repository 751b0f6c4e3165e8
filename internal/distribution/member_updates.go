package distribution

import (
	"hash/fnv"
	"sort"
	"strconv"
	"sync"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// memberUpdates encodes a membership update once and shares it between all watchers at the same position.
type memberUpdates struct {
	hub *member.Hub

	mu sync.Mutex
	// seq is the flushed sequence number that the cached updates lead to.
	seq    uint64
	cached map[memberPosition][]byte
}

// partialSuffix is appended to the source in updates from a table that is not complete.
const partialSuffix = "~"

// memberPosition is the position of a watcher: the source of its members, which includes the set of services, and the
// sequence number up to which it has their changes.
type memberPosition struct {
	source string
	seq    uint64
}

func newMemberUpdates(hub *member.Hub) *memberUpdates {
	return &memberUpdates{hub: hub, cached: map[memberPosition][]byte{}}
}

// since returns the encoded update from a position, nil when nothing changed. A position of another source, or of another
// set of services, gets the full list. While the table is not complete, the update only adds members to those that the
// watcher has, and carries a different source, so that the watcher gets the full list once the table is complete.
func (u *memberUpdates) since(source string, seq uint64, services map[string]bool, complete bool) []byte {
	ownSource := u.hub.Source() + servicesKey(services)
	if !complete {
		ownSource += partialSuffix
	}
	if source != ownSource {
		seq = 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if flushed := u.hub.FlushedSeq(); flushed != u.seq {
		u.seq = flushed
		u.cached = map[memberPosition][]byte{}
	}
	if seq >= u.seq {
		return nil
	}
	position := memberPosition{ownSource, seq}
	data, ok := u.cached[position]
	if !ok {
		data = encode(u.buildUpdate(ownSource, seq, services, complete))
		u.cached[position] = data
	}
	return data
}

func (u *memberUpdates) buildUpdate(source string, seq uint64, services map[string]bool, complete bool) *apiv1.MembersUpdate {
	update := u.hub.Since(seq, services)
	update.Source = source
	if !complete {
		update.Full, update.Removed = false, nil
	}
	return update
}

// servicesKey returns a key that identifies a set of services, empty for all services.
func servicesKey(services map[string]bool) string {
	if services == nil {
		return ""
	}
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	sort.Strings(names)
	hash := fnv.New64a()
	for _, name := range names {
		_, _ = hash.Write([]byte(name + ","))
	}
	return "/" + strconv.FormatUint(hash.Sum64(), 36)
}
