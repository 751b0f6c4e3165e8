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
	// answerBytes is the memory from which answers are no longer kept, so that claims go on being made.
	answerBytes = maxStoreBytes / 4 * 3
	// maxRetention bounds the retention that a request may ask for.
	maxRetention = 24 * time.Hour
	// maxKeyBytes is the longest key, the name of the service included.
	maxKeyBytes = 256
	// maxDigestBytes is the longest digest.
	maxDigestBytes = 32
	// maxCallBytes is the longest answer that is kept.
	maxCallBytes = 64 << 10
)

// Store is a holder's memory of claims. It is pure and belongs to its owner's lock.
//
// Invariant: a key has one record; an attempt is granted a key only if no other attempt holds its record.
type Store struct {
	records map[string]*record
	lapses  lapseHeap
	bytes   int
	limit   int
	// names holds one copy of each node's name.
	names map[string]string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{records: map[string]*record{}, limit: maxStoreBytes, names: map[string]string{}}
}

// Claim decides on a claim or tells the state of a key.
func (s *Store) Claim(request *apiv1.ClaimRequest, now time.Time) *apiv1.ClaimResponse {
	if !validClaim(request) {
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_INVALID}
	}
	s.lapse(now)
	if known := s.records[request.Key]; known != nil {
		return answerKnown(known, request)
	}
	if request.Watch {
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_FREE}
	}
	added := &record{
		key:      request.Key,
		digest:   string(request.Digest),
		attempt:  s.intern(attemptOf(request.Attempt)),
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

func answerKnown(known *record, request *apiv1.ClaimRequest) *apiv1.ClaimResponse {
	switch {
	case !known.matches(request.Digest):
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_MISMATCH}
	case known.call != nil:
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_FINISHED, Call: known.finished()}
	case known.attempt == attemptOf(request.Attempt):
		return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_GRANTED}
	}
	return &apiv1.ClaimResponse{Status: apiv1.ClaimStatus_CLAIM_STATUS_TAKEN, TakenDeadlineUnixMs: known.deadline}
}

// Finish records the outcome of an attempt. An attempt that finishes had the majority, so what another attempt holds
// here without having finished is left over and gives way. A release frees the key only for the attempt that holds it.
func (s *Store) Finish(request *apiv1.FinishRequest, now time.Time) bool {
	s.lapse(now)
	known := s.records[request.Key]
	if known == nil {
		return false
	}
	attempt := attemptOf(request.Attempt)
	if request.Release {
		if known.attempt != attempt || known.call != nil {
			return false
		}
		s.remove(known)
		return true
	}
	if known.call != nil {
		return known.attempt == attempt
	}
	if request.Call == nil || attempt == (Attempt{}) {
		return false
	}
	s.finish(known, s.intern(attempt), s.fitting(request.Call))
	return true
}

// finish puts an answer into a record.
func (s *Store) finish(r *record, attempt Attempt, call []byte) {
	s.bytes -= r.size()
	r.attempt, r.call = attempt, call
	s.bytes += r.size()
	r.wake()
}

// fitting encodes an answer, or the fact that it is not kept where memory does not allow it.
func (s *Store) fitting(call *apiv1.StoredCall) []byte {
	encoded := encodeCall(call)
	if len(encoded) <= maxCallBytes && s.bytes+len(encoded) <= answerBytes {
		return encoded
	}
	return encodeCall(&apiv1.StoredCall{Unknown: call.Unknown, Status: call.Status, TooLong: !call.Unknown})
}

// maxNames bounds the names of nodes that are kept once.
const maxNames = 4096

// intern replaces the name of the node by the one copy that all records share.
func (s *Store) intern(attempt Attempt) Attempt {
	if known, ok := s.names[attempt.Node]; ok {
		attempt.Node = known
		return attempt
	}
	if len(s.names) >= maxNames {
		s.names = map[string]string{}
	}
	s.names[attempt.Node] = attempt.Node
	return attempt
}

// Changed returns a channel that is closed when the record of a key changes, nil when there is none.
func (s *Store) Changed(key string) <-chan struct{} {
	known := s.records[key]
	if known == nil {
		return nil
	}
	if known.changed == nil {
		known.changed = make(chan struct{})
	}
	return known.changed
}

// Page lists up to limit claims after a key, in the order of keys.
func (s *Store) Page(after string, limit int, now time.Time) (claims []*apiv1.Claim, more bool) {
	s.lapse(now)
	keys := make([]string, 0, len(s.records))
	for key := range s.records {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more = len(keys) > limit
	for _, key := range keys[:min(limit, len(keys))] {
		claims = append(claims, s.records[key].message(now))
	}
	return claims, more
}

func (r *record) message(now time.Time) *apiv1.Claim {
	return &apiv1.Claim{
		Key:            r.key,
		Digest:         []byte(r.digest),
		Attempt:        r.attempt.message(),
		DeadlineUnixMs: r.deadline,
		LeftMs:         uint64(max(r.expires-now.UnixNano(), 0)/int64(time.Millisecond)) + 1,
		Call:           r.finished(),
	}
}

// Merge takes in a claim of another holder. Two unfinished attempts at one key leave the key with nobody: either may
// have the majority.
func (s *Store) Merge(claim *apiv1.Claim, now time.Time) {
	if claim.Key == "" || len(claim.Key) > maxKeyBytes || len(claim.Digest) > maxDigestBytes {
		return
	}
	left := min(claim.LeftMs, uint64((maxRetention + MaxCallDuration).Milliseconds()))
	expires := now.Add(time.Duration(left) * time.Millisecond).UnixNano()
	attempt := s.intern(attemptOf(claim.Attempt))
	known := s.records[claim.Key]
	if known == nil {
		known = &record{
			key:      claim.Key,
			digest:   string(claim.Digest),
			attempt:  attempt,
			deadline: clampDeadline(claim.DeadlineUnixMs, now),
			expires:  expires,
		}
		s.add(known)
	}
	switch {
	case known.call != nil:
	case claim.Call != nil:
		s.finish(known, attempt, s.fitting(claim.Call))
	case known.attempt != attempt:
		known.attempt = Attempt{}
	}
	if expires > known.expires {
		known.expires = expires
		heap.Fix(&s.lapses, known.index)
	}
}

// Len returns the number of claims.
func (s *Store) Len() int {
	return len(s.records)
}

// Bytes returns the memory that the claims count for.
func (s *Store) Bytes() int {
	return s.bytes
}

func (s *Store) add(r *record) {
	s.records[r.key] = r
	heap.Push(&s.lapses, r)
	s.bytes += r.size()
}

func (s *Store) remove(r *record) {
	heap.Remove(&s.lapses, r.index)
	s.forget(r)
}

func (s *Store) forget(r *record) {
	delete(s.records, r.key)
	s.bytes -= r.size()
	r.wake()
}

// lapse forgets the claims whose time is over.
func (s *Store) lapse(now time.Time) {
	for len(s.lapses) > 0 && now.UnixNano() >= s.lapses[0].expires {
		s.forget(heap.Pop(&s.lapses).(*record))
	}
}
