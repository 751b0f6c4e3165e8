package claim

import (
	"container/heap"
	"sort"
	"time"

	apiv1 "samphireflow/api/v1"
)

const (
	// maxStoreBytes bounds the memory of a store.
	maxStoreBytes = 32 << 20
	// maxBytesWithCalls is the size of a store from which responses are no longer stored, so that the remaining memory can
	// be used for new claims.
	maxBytesWithCalls = maxStoreBytes / 4 * 3
	// maxRetention bounds the retention that a request may ask for.
	maxRetention = 24 * time.Hour
	// maxKeyBytes is the longest key, including the name of the service. It also bounds the name of a node.
	maxKeyBytes = 256
	// maxDigestBytes is the longest digest.
	maxDigestBytes = 32
	// maxCallBytes is the longest encoded response that is stored.
	maxCallBytes = 64 << 10
)

// Store keeps the claims of a holder in memory. It does no I/O and reads no clock. It is not safe for concurrent use; its
// owner guards it with a lock.
//
// Invariant: a key has at most one record, and an attempt is granted a key only if no other attempt holds its record.
type Store struct {
	records  map[string]*record
	byExpiry expiryHeap
	bytes    int
	limit    int
	// nodeNames holds one copy of each node's name, which the records share.
	nodeNames map[string]string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{records: map[string]*record{}, limit: maxStoreBytes, nodeNames: map[string]string{}}
}

// Claim grants or refuses a claim. A request with Watch makes no claim and gets the state of the key.
func (s *Store) Claim(request *apiv1.ClaimRequest, now time.Time) *apiv1.ClaimResponse {
	if !validClaim(request) {
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_INVALID}
	}
	s.deleteExpired(now)
	if existing := s.records[request.Key]; existing != nil {
		return responseForExisting(existing, request)
	}
	if request.Watch {
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_FREE}
	}
	added := &record{
		key:      request.Key,
		digest:   string(request.Digest),
		attempt:  s.intern(attemptFromProto(request.Attempt)),
		deadline: clampDeadline(request.DeadlineUnixMs, now),
		expires:  now.Add(clampRetention(request.RetentionMs) + MaxCallDuration).UnixNano(),
	}
	if s.bytes+added.size() > s.limit {
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_FULL}
	}
	s.add(added)
	return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_GRANTED}
}

func validClaim(request *apiv1.ClaimRequest) bool {
	return request.Key != "" && len(request.Key) <= maxKeyBytes && len(request.Digest) <= maxDigestBytes &&
		request.Attempt.GetNode() != "" && len(request.Attempt.GetNode()) <= maxKeyBytes
}

func clampRetention(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxRetention.Milliseconds()))) * time.Millisecond
}

func clampDeadline(ms int64, now time.Time) int64 {
	return min(ms, now.Add(MaxCallDuration).UnixMilli())
}

// responseForExisting answers a claim of a key that has a record.
func responseForExisting(existing *record, request *apiv1.ClaimRequest) *apiv1.ClaimResponse {
	switch {
	case !existing.matches(request.Digest):
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_MISMATCH}
	case existing.encodedCall != nil:
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_FINISHED, Call: existing.storedCall()}
	case existing.attempt == attemptFromProto(request.Attempt):
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_GRANTED}
	}
	return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_TAKEN, TakenDeadlineUnixMs: existing.deadline}
}

// Finish records the outcome of an attempt and reports whether it is recorded. An attempt that finishes had a majority, so an
// unfinished claim of another attempt at this holder is stale and is replaced. A release frees the key only if the
// releasing attempt holds it.
func (s *Store) Finish(request *apiv1.FinishRequest, now time.Time) bool {
	s.deleteExpired(now)
	existing := s.records[request.Key]
	if existing == nil {
		return false
	}
	attempt := attemptFromProto(request.Attempt)
	if request.Release {
		if existing.attempt != attempt || existing.encodedCall != nil {
			return false
		}
		s.remove(existing)
		return true
	}
	if existing.encodedCall != nil {
		return existing.attempt == attempt
	}
	if request.Call == nil || attempt == (Attempt{}) {
		return false
	}
	s.finish(existing, s.intern(attempt), s.encodeWithinLimits(request.Call))
	return true
}

// finish stores the encoded response of an attempt in a record.
func (s *Store) finish(r *record, attempt Attempt, call []byte) {
	s.bytes -= r.size()
	r.attempt, r.encodedCall = attempt, call
	s.bytes += r.size()
	r.notify()
}

// encodeWithinLimits encodes a response. If it exceeds the limits, only its status and a mark that it was too long are
// encoded.
func (s *Store) encodeWithinLimits(call *apiv1.StoredCall) []byte {
	encoded := encodeCall(call)
	if len(encoded) <= maxCallBytes && s.bytes+len(encoded) <= maxBytesWithCalls {
		return encoded
	}
	return encodeCall(&apiv1.StoredCall{Unknown: call.Unknown, Status: call.Status, TooLong: !call.Unknown})
}

// maxNodeNames bounds the number of interned node names.
const maxNodeNames = 4096

// intern replaces the name of the node by the copy that all records share.
func (s *Store) intern(attempt Attempt) Attempt {
	if existing, ok := s.nodeNames[attempt.Node]; ok {
		attempt.Node = existing
		return attempt
	}
	if len(s.nodeNames) >= maxNodeNames {
		s.nodeNames = map[string]string{}
	}
	s.nodeNames[attempt.Node] = attempt.Node
	return attempt
}

// Changed returns a channel that is closed when the record of a key changes, nil when the key has no record.
func (s *Store) Changed(key string) <-chan struct{} {
	existing := s.records[key]
	if existing == nil {
		return nil
	}
	if existing.changed == nil {
		existing.changed = make(chan struct{})
	}
	return existing.changed
}

// Page lists up to limit claims in the order of their keys, beginning after the given key. It reports whether more claims
// follow.
func (s *Store) Page(after string, limit int, now time.Time) (claims []*apiv1.Claim, more bool) {
	s.deleteExpired(now)
	keys := make([]string, 0, len(s.records))
	for key := range s.records {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more = len(keys) > limit
	for _, key := range keys[:min(limit, len(keys))] {
		claims = append(claims, s.records[key].toProto(now))
	}
	return claims, more
}

func (r *record) toProto(now time.Time) *apiv1.Claim {
	return &apiv1.Claim{
		Key:            r.key,
		Digest:         []byte(r.digest),
		Attempt:        r.attempt.toProto(),
		DeadlineUnixMs: r.deadline,
		LeftMs:         uint64(max(r.expires-now.UnixNano(), 0)/int64(time.Millisecond)) + 1,
		Call:           r.storedCall(),
	}
}

// Merge adds a claim that another holder reported. If two unfinished attempts claim one key, either may have a majority;
// the key is then held by neither, and no attempt is granted it until it expires or one of them finishes.
func (s *Store) Merge(claim *apiv1.Claim, now time.Time) {
	if claim.Key == "" || len(claim.Key) > maxKeyBytes || len(claim.Digest) > maxDigestBytes {
		return
	}
	left := min(claim.LeftMs, uint64((maxRetention + MaxCallDuration).Milliseconds()))
	expires := now.Add(time.Duration(left) * time.Millisecond).UnixNano()
	attempt := s.intern(attemptFromProto(claim.Attempt))
	existing := s.records[claim.Key]
	if existing == nil {
		existing = &record{
			key:      claim.Key,
			digest:   string(claim.Digest),
			attempt:  attempt,
			deadline: clampDeadline(claim.DeadlineUnixMs, now),
			expires:  expires,
		}
		s.add(existing)
	}
	switch {
	case existing.encodedCall != nil:
	case claim.Call != nil:
		s.finish(existing, attempt, s.encodeWithinLimits(claim.Call))
	case existing.attempt != attempt:
		existing.attempt = Attempt{}
	}
	if expires > existing.expires {
		existing.expires = expires
		heap.Fix(&s.byExpiry, existing.index)
	}
}

// Len returns the number of claims.
func (s *Store) Len() int {
	return len(s.records)
}

// Bytes returns the accounted memory of the claims.
func (s *Store) Bytes() int {
	return s.bytes
}

func (s *Store) add(r *record) {
	s.records[r.key] = r
	heap.Push(&s.byExpiry, r)
	s.bytes += r.size()
}

func (s *Store) remove(r *record) {
	heap.Remove(&s.byExpiry, r.index)
	s.unindex(r)
}

// unindex removes a record that is not in the heap any more.
func (s *Store) unindex(r *record) {
	delete(s.records, r.key)
	s.bytes -= r.size()
	r.notify()
}

// deleteExpired removes the expired claims.
func (s *Store) deleteExpired(now time.Time) {
	for len(s.byExpiry) > 0 && now.UnixNano() >= s.byExpiry[0].expires {
		s.unindex(heap.Pop(&s.byExpiry).(*record))
	}
}
