package distribution

import (
	"hash/fnv"
	"sort"
	"strconv"
	"sync"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// memberAnswers encodes membership updates once for all watchers that have the same position.
type memberAnswers struct {
	hub *member.Hub

	mu sync.Mutex
	// seq is the flushed number that the cached answers lead to.
	seq    uint64
	cached map[memberPosition][]byte
}

// partialMark ends the source of updates from a table that is not complete.
const partialMark = "~"

// memberPosition is what a watcher has: the services that it sees and the number up to which it has them.
type memberPosition struct {
	source string
	seq    uint64
}

func newMemberAnswers(hub *member.Hub) *memberAnswers {
	return &memberAnswers{hub: hub, cached: map[memberPosition][]byte{}}
}

// since returns the encoded update from a position, nil when there is nothing new. A position of another source, or
// of another set of services, gets the whole list. While the table is not complete, the list only adds to what the
// watcher has, and its source is another one, so that the complete list follows.
func (a *memberAnswers) since(source string, seq uint64, services map[string]bool, complete bool) []byte {
	own := a.hub.Source() + servicesKey(services)
	if !complete {
		own += partialMark
	}
	if source != own {
		seq = 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if flushed := a.hub.FlushedSeq(); flushed != a.seq {
		a.seq = flushed
		a.cached = map[memberPosition][]byte{}
	}
	if seq >= a.seq {
		return nil
	}
	at := memberPosition{own, seq}
	data, known := a.cached[at]
	if !known {
		data = encode(a.update(own, seq, services, complete))
		a.cached[at] = data
	}
	return data
}

func (a *memberAnswers) update(source string, seq uint64, services map[string]bool, complete bool) *apiv1.MembersUpdate {
	update := a.hub.Since(seq, services)
	update.Source = source
	if !complete {
		update.Full, update.Removed = false, nil
	}
	return update
}

// servicesKey tells sets of services apart.
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
