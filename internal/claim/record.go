package claim

import (
	"bytes"
	"time"

	apiv1 "samphireflow/api/v1"
)

// Attempt names one attempt to run a request. The zero value is nobody's attempt.
type Attempt struct {
	Node        string
	Incarnation uint64
	Number      uint64
}

// attemptOf reads an attempt from a message.
func attemptOf(message *apiv1.ClaimAttempt) Attempt {
	return Attempt{message.GetNode(), message.GetIncarnation(), message.GetNumber()}
}

func (a Attempt) message() *apiv1.ClaimAttempt {
	return &apiv1.ClaimAttempt{Node: a.Node, Incarnation: a.Incarnation, Number: a.Number}
}

// record is one claim in a holder's memory.
type record struct {
	key      string
	digest   []byte
	attempt  Attempt
	deadline int64
	expires  time.Time
	// call is nil until the attempt has finished.
	call *apiv1.StoredCall
	// changed is closed when the record changes or goes; nil while nobody waits.
	changed chan struct{}
	// index is the place in the store's heap.
	index int
}

// recordOverhead is the memory of a record besides its variable parts, in bytes.
const recordOverhead = 320

func (r *record) size() int {
	size := recordOverhead + len(r.key) + len(r.digest) + len(r.attempt.Node)
	if r.call == nil {
		return size
	}
	size += len(r.call.Body)
	for _, header := range r.call.Headers {
		size += recordOverhead/4 + len(header.Name)
		for _, value := range header.Values {
			size += len(value)
		}
	}
	return size
}

func (r *record) matches(digest []byte) bool {
	return bytes.Equal(r.digest, digest)
}

func (r *record) wake() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// lapseHeap orders records by the time at which they lapse (container/heap).
type lapseHeap []*record

// Len returns the number of records.
func (h lapseHeap) Len() int { return len(h) }

// Less orders by the time of lapse.
func (h lapseHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap swaps two records.
func (h lapseHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a record.
func (h *lapseHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop removes the last record.
func (h *lapseHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
