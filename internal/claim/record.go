package claim

import (
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// Attempt identifies one attempt to run a request. The zero value stands for no attempt.
type Attempt struct {
	Node        string
	Incarnation uint64
	Number      uint64
}

// attemptFromProto decodes an attempt.
func attemptFromProto(message *apiv1.ClaimAttempt) Attempt {
	return Attempt{message.GetNode(), message.GetIncarnation(), message.GetNumber()}
}

func (a Attempt) toProto() *apiv1.ClaimAttempt {
	return &apiv1.ClaimAttempt{Node: a.Node, Incarnation: a.Incarnation, Number: a.Number}
}

// record is one claim in a holder's memory.
type record struct {
	key     string
	digest  string
	attempt Attempt
	// deadline is the deadline of the attempt in Unix milliseconds.
	deadline int64
	// expires is the time of expiry in Unix nanoseconds.
	expires int64
	// encodedCall is the encoded response; nil until the attempt has finished.
	encodedCall []byte
	// changed is closed when the record changes or is removed; nil while nobody waits.
	changed chan struct{}
	// index is the position in the store's heap.
	index int
}

// recordOverhead is the memory in bytes of a record without its strings and response. It includes the entries in the
// store's map and heap.
const recordOverhead = 240

func (r *record) size() int {
	return recordOverhead + len(r.key) + len(r.digest) + cap(r.encodedCall)
}

func (r *record) matches(digest []byte) bool {
	return r.digest == string(digest)
}

// storedCall returns the decoded response, nil until the attempt has finished.
func (r *record) storedCall() *apiv1.StoredCall {
	if r.encodedCall == nil {
		return nil
	}
	call := &apiv1.StoredCall{}
	if err := proto.Unmarshal(r.encodedCall, call); err != nil {
		return &apiv1.StoredCall{Unknown: true}
	}
	return call
}

// encodeCall encodes a response for a record. The result is never nil.
func encodeCall(call *apiv1.StoredCall) []byte {
	encoded, err := proto.Marshal(call)
	if err != nil || len(encoded) == 0 {
		encoded, _ = proto.Marshal(&apiv1.StoredCall{Unknown: true})
	}
	return append(make([]byte, 0, len(encoded)), encoded...)
}

func (r *record) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// expiryHeap orders records by their time of expiry (container/heap).
type expiryHeap []*record

// Len returns the number of records.
func (h expiryHeap) Len() int { return len(h) }

// Less reports whether record i expires before record j.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }

// Swap swaps two records.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a record.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop removes the last record.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
