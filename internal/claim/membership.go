package claim

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// foundingEpoch is the epoch at which a set is founded: nothing was claimed before.
const foundingEpoch = 1

// Membership is a node's place in the set of claim holders of its failure domain. It is pure and belongs to its owner's lock.
//
// Invariant: the holders that are synced but miss a claim that had a majority are never so many that a majority could
// be made of them; so every majority of synced holders knows the claim.
type Membership struct {
	instance    string
	incarnation uint64
	started     time.Time

	set    *apiv1.Assignment
	member bool
	synced bool
	since  uint64
	// blank is the time at which the seat was found to lack memory.
	blank time.Time
}

// NewMembership returns the seat of a process that has just started, with nothing in memory.
func NewMembership(instance string, incarnation uint64, started time.Time) *Membership {
	return &Membership{instance: instance, incarnation: incarnation, started: started}
}

// Update takes in the set of an applied configuration version. Sets of earlier epochs are ignored.
func (s *Membership) Update(set *apiv1.Assignment, now time.Time) {
	if set == nil || set.Epoch <= s.set.GetEpoch() {
		return
	}
	s.set = set
	me := s.find(set)
	s.member = me != nil
	if me == nil {
		s.synced = false
		s.since = 0
		return
	}
	if me.SinceEpoch != s.since {
		s.since = me.SinceEpoch
		s.synced = me.SinceEpoch == foundingEpoch && me.Incarnation == s.incarnation
		s.blank = now
	}
}

func (s *Membership) find(set *apiv1.Assignment) *apiv1.AssignedNode {
	for _, node := range set.Nodes {
		if node.Instance == s.instance {
			return node
		}
	}
	return nil
}

// Check returns whether the seat answers for a set and epoch; otherwise the status that says why not.
func (s *Membership) Check(domain string, epoch uint64) (apiv1.ClaimStatus, bool) {
	if !s.member || s.set.FailureDomain != domain || s.set.Epoch != epoch {
		return apiv1.ClaimStatus_CLAIM_STATUS_WRONG_EPOCH, false
	}
	if !s.synced {
		return apiv1.ClaimStatus_CLAIM_STATUS_ABSTAINS, false
	}
	return apiv1.ClaimStatus_CLAIM_STATUS_GRANTED, true
}

// SyncByExpiry counts the seat as synced once everything that was claimed before it was found to lack memory has lapsed.
// Retention is the longest that any route has.
func (s *Membership) SyncByExpiry(retention time.Duration, now time.Time) {
	if s.member && !s.synced && now.Sub(s.blank) >= retention+2*MaxCallDuration {
		s.synced = true
	}
}

// SetToSync returns the set to sync from, nil when there is nothing to sync or it is too early.
func (s *Membership) SetToSync(now time.Time) *apiv1.Assignment {
	if !s.member || s.synced || now.Sub(s.started) < 2*VoteWindow {
		return nil
	}
	return s.set
}

// CompleteSync tells that the claims of a number of other synced holders of an epoch are in memory. It reports whether that
// is enough.
func (s *Membership) CompleteSync(epoch uint64, others int) bool {
	if !s.member || s.set.Epoch != epoch || others < coverage(len(s.set.Nodes)) {
		return false
	}
	s.synced = true
	return true
}
