package claim

import (
	"google.golang.org/protobuf/proto"

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
	digest   string
	attempt  Attempt
	deadline int64
	// expires is the time of lapse in Unix nanoseconds.
	expires int64
	// call is the encoded answer; nil until the attempt has finished.
	call []byte
	// changed is closed when the record changes or goes; nil while nobody waits.
	changed chan struct{}
	// index is the place in the store's heap.
	index int
}

// recordOverhead is the memory of a record besides its variable parts, its places in the map and the heap included, in
// bytes.
const recordOverhead = 240

func (r *record) size() int {
	return recordOverhead + len(r.key) + len(r.digest) + cap(r.call)
}

func (r *record) matches(digest []byte) bool {
	return r.digest == string(digest)
}

// finished returns the answer, nil until the attempt has finished.
func (r *record) finished() *apiv1.StoredCall {
	if r.call == nil {
		return nil
	}
	call := &apiv1.StoredCall{}
	if err := proto.Unmarshal(r.call, call); err != nil {
		return &apiv1.StoredCall{Unknown: true}
	}
	return call
}

// encodeCall returns the form in which answers are kept. It is never nil.
func encodeCall(call *apiv1.StoredCall) []byte {
	encoded, err := proto.Marshal(call)
	if err != nil || len(encoded) == 0 {
		encoded, _ = proto.Marshal(&apiv1.StoredCall{Unknown: true})
	}
	return append(make([]byte, 0, len(encoded)), encoded...)
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
func (h lapseHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }

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
